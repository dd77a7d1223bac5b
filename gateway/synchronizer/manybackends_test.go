package synchronizer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/wire"
)

// startBound is the time after a start of all processes within which gateways have to serve again.
const startBound = 15 * time.Second

func manyAnnouncements(n int) []*wire.Announcement {
	list := make([]*wire.Announcement, 0, n)
	for i := range n {
		id := fmt.Sprintf("i-%010x", uint32(i)*2654435761)
		list = append(list, &wire.Announcement{
			Id: id, Name: id, Service: "engines", Address: fmt.Sprintf("10.%d.%d.%d:8569", i%200, i/200%200, i/40000), Zone: "z",
			Slots: 16, Sequence: 7, SoftwareVersion: "v1", BornMs: uint64(1_790_000_000_000 + i),
		})
	}
	return list
}

// The state of many backend servers did not arrive within the time of a call, which began anew, for good.
func TestGatewaysLearnOfManyBackendServersAfterAStart(t *testing.T) {
	for name, test := range map[string]struct{ gateways, backends int }{
		"22 gateways, 60 backend servers":     {22, 60},
		"22 gateways, 3,000 backend servers":  {22, 3000},
		"10 gateways, 12,000 backend servers": {10, 12000},
		"5 gateways, 12,000 backend servers":  {5, 12000},
	} {
		t.Run(name, func(t *testing.T) {
			var meters []*meter.Meter
			for range test.gateways {
				meters = append(meters, meter.New("gateway", "test", "z"))
			}
			announcements := manyAnnouncements(test.backends)
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := startFleet(meters, randomTable(1, 49), announcements...)
				defer f.close()
				<-time.After(startBound)
				for _, g := range f.gateways {
					g.mu.Lock()
					c.Check(g.backends, qt.HasLen, test.backends, qt.Commentf("at %s", g.host.address))
					g.mu.Unlock()
				}
			})
		})
	}
}
