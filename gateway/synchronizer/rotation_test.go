package synchronizer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// Which of three relays is asked after a series of answers, a second apart from each other.
func TestRotation(t *testing.T) {
	good := &wire.SyncResponse{}
	stale := &wire.SyncResponse{ContactAgeMs: 501}
	noLeader := &wire.SyncResponse{LeaderAgeMs: 1500}
	for name, test := range map[string]struct {
		answers []*wire.SyncResponse
		turn    int
		fresh   bool
		pause   bool
	}{
		"news":                              {[]*wire.SyncResponse{good, good}, 0, false, false},
		"no answer":                         {[]*wire.SyncResponse{good, nil}, 1, true, false},
		"an old word":                       {[]*wire.SyncResponse{stale}, 1, true, false},
		"the next one answers":              {[]*wire.SyncResponse{nil, good}, 1, false, false},
		"all are asked in vain":             {[]*wire.SyncResponse{nil, stale, nil}, 3, true, true},
		"it hears no leader for long":       {[]*wire.SyncResponse{good, noLeader, noLeader}, 1, true, false},
		"after a while the first one again": {[]*wire.SyncResponse{nil, good, good, good, good, good, good, good, good, good, good, good}, 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			r := rotation{asked: now}
			pause := false
			for i, res := range test.answers {
				pause = r.next(now.Add(time.Duration(i)*time.Second), res, 3)
			}
			c.Check(r.turn, qt.Equals, test.turn)
			c.Check(r.fresh, qt.Equals, test.fresh)
			c.Check(pause, qt.Equals, test.pause)
		})
	}
}
