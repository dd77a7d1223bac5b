package routecoordinator

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/twitchtv/twirp"

	"bronzelead.example/pkg/wire"
)

const (
	// departureTimeout bounds the time in which a departure is recorded; a backend server calls another instance after a
	// second.
	departureTimeout = 850 * time.Millisecond
	// departureAttempt bounds one attempt to record it, or to confirm that others know it.
	departureAttempt = 300 * time.Millisecond
	// departurePause is the time between two attempts.
	departurePause = 50 * time.Millisecond
	// recordLaterTimeout bounds the attempts to record a departure that was acknowledged before it was recorded, and
	// recordLaterPause is the time between two of them.
	recordLaterTimeout = 30 * time.Second
	recordLaterPause   = 250 * time.Millisecond
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
// that this is known everywhere, and may not repeat it, so that it must outlive this instance and its disk. While no
// leader can record it, as one is elected or its disk hangs, it is enough that a majority knows it; these tell the
// gateways within moments.
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
		if m.majorityKnows(ctx, departure) {
			log.Info("a majority of controllers knows the departure of a backend server, which is recorded later",
				"Backend", departure.GetId(), "Took", m.Coordinator.Clock.Since(began).Milliseconds(), "Error", err.Error())
			go m.recordLater(departure.GetId(), req)
			return nil
		}
		if ctx.Err() != nil || !m.knowsLeader() || pauseFor(ctx, m.Coordinator.Clock, departurePause) != nil {
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

// majorityKnows tells all controllers that vote of a departure, and reports whether a majority of them has confirmed that
// it knows it.
func (m *Mesh) majorityKnows(ctx context.Context, departure *wire.Announcement) bool {
	ctx, cancel := context.WithTimeout(ctx, departureAttempt)
	defer cancel()
	voters := m.Coordinator.Raft.Status().Configuration.GetVoters()
	confirmed := make(chan bool, len(voters))
	for _, v := range voters {
		go func() {
			_, err := m.Client(v.GetAddress()).Relay(ctx, &wire.RelayRequest{Announcements: []*wire.Announcement{departure}})
			confirmed <- err == nil
		}()
	}
	missing := len(voters)/2 + 1
	for range voters {
		if <-confirmed {
			missing--
		}
		if missing == 0 {
			return true
		}
	}
	return false
}

// recordLater records a departure that was acknowledged before.
func (m *Mesh) recordLater(backend string, req *wire.PutRequest) {
	ctx, cancel := m.Coordinator.whileRunning(recordLaterTimeout)
	defer cancel()
	for pauseFor(ctx, m.Coordinator.Clock, recordLaterPause) == nil {
		if m.attempt(ctx, req) == nil {
			m.Coordinator.Log.Info("the departure of a backend server is recorded, after its acknowledgement", "Backend", backend)
			return
		}
	}
	m.Coordinator.Log.Warn("the departure of a backend server was acknowledged and is not recorded", "Backend", backend)
}

// whileRunning returns a context that ends with the coordinator, after a timeout at the latest.
func (c *Coordinator) whileRunning(timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	go func() {
		select {
		case <-c.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// knowsLeader reports whether this instance leads or knows who does.
func (m *Mesh) knowsLeader() bool { return m.Leader() != "" || m.Coordinator.Raft.Leads() }

// pauseFor waits, and returns an error if ctx ends before.
func pauseFor(ctx context.Context, clock clockwork.Clock, d time.Duration) error {
	select {
	case <-clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
