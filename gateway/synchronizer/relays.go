package synchronizer

import (
	"context"

	"bronzelead.example/pkg/connector"
)

// followRelays asks one relay for news all the time, and another one as soon as it gives
// none.
func (f *Synchronizer) followRelays(ctx context.Context) {
	transport := connector.NewTransport(nil)
	defer transport.CloseIdleConnections()
	r := rotation{asked: f.Clock.Now()}
	for ctx.Err() == nil {
		address, ok := f.relay(r.turn)
		if !ok {
			return
		}
		wait := leaderWait
		if r.fresh {
			// What another one knows is wanted at once.
			wait = 0
		}
		client := &connector.Client{Timeout: wait + relayMargin, Transport: transport}
		res, err := f.ask(ctx, client, address, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.Log.Info("a relay does not answer", "Gateway", address, "Error", err.Error())
		} else {
			f.take(address, res)
		}
		if r.next(f.Clock.Now(), res, len(f.relayList())) {
			f.pause(ctx)
		}
		if err == nil && !isStale(res) {
			f.mu.Lock()
			f.covered = f.Clock.Now()
			f.mu.Unlock()
		}
	}
}

func (f *Synchronizer) relayList() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relays
}

// relay returns the relay whose turn it is.
func (f *Synchronizer) relay(turn int) (string, bool) {
	relays := f.relayList()
	if len(relays) == 0 {
		return "", false
	}
	return relays[turn%len(relays)], true
}
