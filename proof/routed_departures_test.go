package proof

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// A departure that a controller had acknowledged was lost with that controller, and requests came to the backend server until
// it ended. Here all controllers are killed as soon as one has acknowledged it.
func TestRoutedAcknowledgedDeparturesOutliveControllers(t *testing.T) {
	t.Parallel()
	for name, departure := range map[string]*wire.Announcement{
		"gone":     {Gone: true},
		"draining": {Draining: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			y := startRouted(c, 3, 2, 2)
			background := startBackgroundLoad(y, 6, 5)
			y.waitServed(100)
			leaving := y.backends[0]
			leaving.stopAnnouncing()
			eventually(c, "the departure is acknowledged", func() bool { return leaving.sendDeparture(departure) })
			for _, n := range y.controllers {
				n.kill()
			}
			for _, n := range y.controllers {
				n.restart()
			}
			y.waitRead(0)
			y.waitServing()
			eventually(c, "no more requests arrive", func() bool {
				runs := leaving.runs.Load()
				y.waitServed(50)
				return leaving.runs.Load() == runs
			})
			runs := leaving.runs.Load()
			y.waitServed(500)
			c.Check(leaving.runs.Load(), qt.Equals, runs)
			background.stop()
			y.history.check(c)
		})
	}
}

// sendDeparture sends one departure, and reports whether it was acknowledged.
func (b *fakeBackend) sendDeparture(departure *wire.Announcement) bool {
	a := &wire.Announcement{
		Name: b.id, Service: "s", Address: b.address, Zone: "z", Slots: 16,
		Sequence: b.sequence.Add(1), Draining: departure.GetDraining(), Gone: departure.GetGone(),
	}
	encode := platform.StandInHeartbeat
	if a.GetGone() {
		encode = platform.StandInDeparture
	}
	path, body, err := encode(a)
	b.y.c.Assert(err, qt.IsNil)
	res, err := (&http.Client{Timeout: time.Second}).Post("http://"+b.y.operator.controller(0)+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
