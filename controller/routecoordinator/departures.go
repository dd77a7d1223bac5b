package routecoordinator

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"bronzelead.example/pkg/wire"
)

const (
	// departureTimeout bounds the time in which a departure is recorded; a backend server calls another instance after a
	// second.
	departureTimeout = 850 * time.Millisecond
	// departureAttempt bounds one attempt, so that another follows within departureTimeout if the leader has stopped.
	departureAttempt = 400 * time.Millisecond
	// departurePause is the time between two attempts.
	departurePause = 50 * time.Millisecond
)

// observeDepartures passes departures that the log has recorded on to the tracker: their announcements may have reached
// only controllers that have lost them since.
func (c *Coordinator) observeDepartures(now time.Time) {
	list := c.state.DeparturesAfter(c.departuresIndex)
	if len(list) == 0 {
		return
	}
	for _, d := range list {
		c.tracker.ObserveRecorded(now, d.GetAnnouncement())
	}
	c.departuresIndex = list[len(list)-1].GetIndex()
	c.applyChanges()
}

// unrecordedDeparture returns what is known of the backend server of an announcement, if it leaves or has left and the
// log has not recorded that; else nil.
func (c *Coordinator) unrecordedDeparture(ctx context.Context, a *wire.Announcement) (*wire.Announcement, error) {
	// The call may still run after ctx has ended, and must not write what is read here.
	found := make(chan *wire.Announcement, 1)
	err := c.Call(ctx, func(time.Time) {
		departure := c.tracker.Departure(a)
		if departure != nil && c.state.HasDeparture(departure.GetId()) {
			departure = nil
		}
		found <- departure
	})
	if err != nil {
		return nil, err
	}
	return <-found, nil
}

// recordDeparture records in the log that the backend server of an announcement leaves or has left. Its caller is told
// that this is known everywhere, and may not repeat it, so that it must outlive this instance and its disk.
func (m *Mesh) recordDeparture(ctx context.Context, a *wire.Announcement) error {
	departure, err := m.Coordinator.unrecordedDeparture(ctx, a)
	if err != nil || departure == nil {
		return err
	}
	log, began := m.Coordinator.Log, m.Coordinator.Clock.Now()
	req := &wire.PutRequest{Change: &wire.PutRequest_Departure{Departure: forGateways(departure)}}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	for {
		err := m.attempt(ctx, req)
		if err == nil {
			log.Info("the departure of a backend server is recorded", "Backend", departure.GetId(),
				"Took", m.Coordinator.Clock.Since(began).Milliseconds())
			return nil
		}
		select {
		case <-m.Coordinator.Clock.After(departurePause):
		case <-ctx.Done():
			log.Warn("the departure of a backend server is not recorded, so that it is not acknowledged",
				"Backend", departure.GetId(), "Error", err.Error())
			return twirp.NewError(twirp.Unavailable, "the departure can't be recorded now")
		}
	}
}

func (m *Mesh) attempt(ctx context.Context, req *wire.PutRequest) error {
	ctx, cancel := context.WithTimeout(ctx, departureAttempt)
	defer cancel()
	return m.atLeader(ctx, req)
}
