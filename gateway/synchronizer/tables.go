package synchronizer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// tableTransfer is what is known of the table that this gateway is waiting for.
type tableTransfer struct {
	// version is the highest announced version, and since when one was announced that is not yet in force
	// here; zero if there is none.
	version uint64
	since   time.Time
	// failed counts the calls for it that gave no complete answer, and superfluous those that gave a table
	// which was in force already.
	failed, superfluous int
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
		s.Log.Info("received a table", "Version", table.GetVersion(), "Source", address, "Bytes", proto.Size(table),
			"Delay", s.transferDelay(now).Milliseconds(), "Failed", t.failed, "Superfluous", t.superfluous)
		t.failed, t.superfluous = 0, 0
		if table.GetVersion() >= t.version {
			t.since = time.Time{}
		}
	}
}

// transferDelay returns for how long a later table has been announced. The caller holds the lock.
func (s *Synchronizer) transferDelay(now time.Time) time.Duration {
	if s.transfer.since.IsZero() {
		return 0
	}
	return now.Sub(s.transfer.since)
}

func (s *Synchronizer) recordFailedTransfer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transfer.failed++
}
