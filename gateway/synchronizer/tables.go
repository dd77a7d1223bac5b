package synchronizer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/tabletransmitter"
	"bronzelead.example/pkg/wire"
)

const (
	// partTimeout bounds the call for a part of a table.
	partTimeout = 600 * time.Millisecond
	// sourcePause is how long no table is requested from an instance that has not answered, if others have it.
	sourcePause = time.Second
)

// tableTransfer is what is known of the table that this gateway is waiting for.
type tableTransfer struct {
	// version is the highest announced version, and since when one was announced that is not yet in force
	// here; zero if there is none.
	version uint64
	since   time.Time
	// parts counts the calls for it, failed those that gave no complete answer, and superfluous those that gave a table
	// which was in force already. bytes were received.
	parts, failed, superfluous, bytes int
}

// recordTable records what a response says of the table, while another version is in force.
func (s *Synchronizer) recordTable(address string, inForce uint64, res *wire.SyncResponse) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &s.transfer
	if res.GetTableVersion() > max(inForce, t.version) {
		t.version = res.GetTableVersion()
		if t.since.IsZero() {
			t.since = now
		}
	}
	table := res.GetTable()
	switch {
	case table == nil:
	case table.GetVersion() <= inForce:
		t.superfluous++
	default:
		s.recordReceived(now, address, table.GetVersion(), 0)
	}
}

// recordReceived logs a table that was received, as a difference from a base or complete. The caller holds the lock.
func (s *Synchronizer) recordReceived(now time.Time, address string, version, base uint64) {
	t := &s.transfer
	delay := time.Duration(0)
	if !t.since.IsZero() {
		delay = now.Sub(t.since)
	}
	s.Log.Info("received a table", "Version", version, "Base", base, "Source", address, "Bytes", t.bytes, "Delay", delay.Milliseconds(),
		"Parts", t.parts, "Failed", t.failed, "Superfluous", t.superfluous)
	t.parts, t.failed, t.superfluous, t.bytes = 0, 0, 0, 0
	if version >= t.version {
		t.since = time.Time{}
	}
}

func (s *Synchronizer) recordFailedCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transfer.failed++
}

// announceTable wakes the goroutine that fetches tables.
func (s *Synchronizer) announceTable() {
	select {
	case s.tableAnnounced <- struct{}{}:
	default:
	}
}

// fetchTables fetches each announced table, one after the other and from one instance at a time, until ctx ends.
func (s *Synchronizer) fetchTables(ctx context.Context) {
	transport := s.newTransport()
	defer transport.CloseIdleConnections()
	client := &connector.Client{Timeout: partTimeout, Transport: transport}
	var transfer tabletransmitter.Transfer
	current := ""
	for ctx.Err() == nil {
		if received, _ := transfer.Received(); received == 0 {
			current = ""
		}
		source, pause := s.tableSource(current)
		current = source
		switch {
		case source != "":
			s.fetchPart(ctx, client, source, &transfer)
		case pause > 0:
			select {
			case <-ctx.Done():
			case <-s.tableAnnounced:
			case <-s.Clock.After(pause):
			}
		default:
			select {
			case <-ctx.Done():
			case <-s.tableAnnounced:
			}
		}
	}
}

// tableSource returns the instance to fetch the next part from. The current one, if any, goes on as long as it answers:
// others may have packed the table for another base, so that the transfer would begin again there. Else the relays in
// their order come first, since they are near and many poll the controllers. If all that have a later table are
// avoided, it returns for how long; 0 if none has one.
func (s *Synchronizer) tableSource(current string) (address string, pause time.Duration) {
	version, now := s.Relayer.Table().GetVersion(), s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var others []string
	for address, state := range s.sources {
		if state.tableVersion <= version || state.sendsTables {
			continue
		}
		if left := state.avoidUntil.Sub(now); left > 0 {
			if pause == 0 || left < pause {
				pause = left
			}
			continue
		}
		others = append(others, address)
	}
	for _, preferred := range append([]string{current}, s.relays...) {
		if slices.Contains(others, preferred) {
			return preferred, 0
		}
	}
	if len(others) == 0 {
		return "", pause
	}
	return others[rand.IntN(len(others))], 0
}

// fetchPart fetches the next part of a table from an instance. What has arrived before stays if it fails.
func (s *Synchronizer) fetchPart(ctx context.Context, client *connector.Client, source string, transfer *tabletransmitter.Transfer) {
	held := s.Relayer.Table()
	res, err := wire.NewMeshProtobufClient("http://"+source, client).FetchTable(ctx, transfer.Request(held.GetVersion()))
	if ctx.Err() != nil {
		return
	}
	s.recordPart(source, res, err)
	if err != nil {
		return
	}
	complete, err := transfer.Receive(res)
	if err != nil {
		s.Log.Warn("a part of a table was refused", "Source", source, "Error", err.Error())
		return
	}
	if !complete {
		return
	}
	p := transfer.Package()
	table, err := p.Unpack(held)
	transfer.Complete = err != nil
	if err != nil {
		s.Log.Warn("a table was refused; requesting the complete one", "Source", source, "Version", p.Version, "Base", p.Base, "Error", err.Error())
		return
	}
	s.mu.Lock()
	s.recordReceived(s.Clock.Now(), source, p.Version, p.Base)
	s.mu.Unlock()
	s.Relayer.ReceiveTable(source, table, p)
}

// recordPart records the outcome of a call for a part of a table.
func (s *Synchronizer) recordPart(source string, res *wire.FetchTableResponse, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.source(source)
	s.transfer.parts++
	s.transfer.bytes += len(res.GetPart())
	var fault twirp.Error
	switch {
	case errors.As(err, &fault) && fault.Code() == twirp.BadRoute:
		state.sendsTables = true
		s.Log.Info("instance sends tables with its updates only", "Source", source)
	case err != nil:
		s.transfer.failed++
		state.avoidUntil = s.Clock.Now().Add(sourcePause)
		s.Log.Info("no answer to a request for a table", "Source", source, "Error", err.Error())
	case res.GetVersion() == 0:
		// What it announced is no longer so.
		state.tableVersion = 0
	default:
		state.avoidUntil = time.Time{}
	}
}
