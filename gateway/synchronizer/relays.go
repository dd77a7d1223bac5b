package synchronizer

import (
	"context"

	"bronzelead.example/pkg/connector"
)

// syncRelays polls one relay continuously, and another one as soon as it provides no current
// state.
func (s *Synchronizer) syncRelays(ctx context.Context) {
	transport := s.newTransport()
	defer transport.CloseIdleConnections()
	r := rotation{since: s.Clock.Now()}
	for ctx.Err() == nil {
		address, ok := s.relayAt(r.index)
		if !ok {
			return
		}
		wait := leaderWait
		if r.firstCall {
			// The first call to a relay returns its state immediately.
			wait = 0
		}
		client := &connector.Client{Timeout: wait + relayMargin, Stall: relayMargin, Transport: transport}
		res, err := s.call(ctx, client, address, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.Log.Info("relay does not answer", "Gateway", address, "Error", err.Error())
		} else {
			s.receive(address, res)
		}
		if r.observe(s.Clock.Now(), res, len(s.relayList())) {
			s.pause(ctx)
		}
		if err == nil && !isStale(res) {
			s.mu.Lock()
			s.relayContactAt = s.Clock.Now()
			s.mu.Unlock()
		}
	}
}

func (s *Synchronizer) relayList() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relays
}

// relayAt returns the relay at an index, modulo the number of relays.
func (s *Synchronizer) relayAt(index int) (string, bool) {
	relays := s.relayList()
	if len(relays) == 0 {
		return "", false
	}
	return relays[index%len(relays)], true
}
