package synchronizer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// The relay that is called after a series of responses, one second apart, out of three relays.
func TestRotation(t *testing.T) {
	good := &wire.SyncResponse{}
	stale := &wire.SyncResponse{ContactAgeMs: 501}
	noLeader := &wire.SyncResponse{LeaderAgeMs: 1500}
	for name, test := range map[string]struct {
		answers   []*wire.SyncResponse
		index     int
		firstCall bool
		pause     bool
	}{
		"news":                        {[]*wire.SyncResponse{good, good}, 0, false, false},
		"no answer":                   {[]*wire.SyncResponse{good, nil}, 1, true, false},
		"stale state":                 {[]*wire.SyncResponse{stale}, 1, true, false},
		"the next relay answers":      {[]*wire.SyncResponse{nil, good}, 1, false, false},
		"no relay has current state":  {[]*wire.SyncResponse{nil, stale, nil}, 3, true, true},
		"no leader for a long time":   {[]*wire.SyncResponse{good, noLeader, noLeader}, 1, true, false},
		"failback to the first relay": {[]*wire.SyncResponse{nil, good, good, good, good, good, good, good, good, good, good, good}, 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			r := rotation{since: now}
			pause := false
			for i, res := range test.answers {
				pause = r.observe(now.Add(time.Duration(i)*time.Second), res, 3)
			}
			c.Check(r.index, qt.Equals, test.index)
			c.Check(r.firstCall, qt.Equals, test.firstCall)
			c.Check(pause, qt.Equals, test.pause)
		})
	}
}
