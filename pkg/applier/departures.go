package applier

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

const (
	// departureRetention is how long a departure is kept. It exceeds the time for which a backend server serves on after
	// its departure by far, so that a clock which steps forward by minutes ends none too early.
	departureRetention = 10 * time.Minute
	// maxDepartures bounds the departures, and with them the state. Beyond it the earliest is dropped.
	maxDepartures = 4096
)

// recordDeparture records that an incarnation of a backend server leaves, or has left. The first record counts.
func (sm *StateMachine) recordDeparture(index uint64, a *wire.Announcement) {
	if a.GetId() == "" || sm.departed[a.GetId()] {
		return
	}
	sm.addDeparture(&wire.RecordedDeparture{Announcement: a, Index: index, AtNs: sm.now})
	if len(sm.departures) > maxDepartures {
		sm.dropFirstDeparture()
	}
}

func (sm *StateMachine) addDeparture(d *wire.RecordedDeparture) {
	sm.departed[d.GetAnnouncement().GetId()] = true
	sm.departures = append(sm.departures, d)
}

func (sm *StateMachine) dropFirstDeparture() {
	delete(sm.departed, sm.departures[0].GetAnnouncement().GetId())
	sm.departures = sm.departures[1:]
}

func (sm *StateMachine) expireDepartures() {
	for len(sm.departures) > 0 && sm.departures[0].GetAtNs()+int64(departureRetention) < sm.now {
		sm.dropFirstDeparture()
	}
}

// HasDeparture reports whether the departure of an incarnation of a backend server is recorded.
func (sm *StateMachine) HasDeparture(id string) bool { return sm.departed[id] }

// DeparturesAfter returns the departures that were recorded after an index of the log, in their order. The caller must
// not change them.
func (sm *StateMachine) DeparturesAfter(index uint64) []*wire.RecordedDeparture {
	from, _ := slices.BinarySearchFunc(sm.departures, index+1, func(d *wire.RecordedDeparture, index uint64) int {
		return cmp.Compare(d.GetIndex(), index)
	})
	return sm.departures[from:]
}
