package routecoordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/pkg/matcher"
	"bronzelead.example/pkg/wire"
)

var errNotLeader = twirp.NewError(twirp.Unavailable, "this instance does not lead")

// commitTimeout bounds the wait for a change to be committed; the operator calls another
// instance after a second.
const commitTimeout = 900 * time.Millisecond

// Mesh serves wire.Mesh: calls of gateways and of other controllers.
type Mesh struct {
	Coordinator *Coordinator
	// Leader returns the leader's address, or "".
	Leader func() string
	// Client returns a client of the controller at an address.
	Client func(address string) wire.Mesh
}

// Sync returns updates.
func (m *Mesh) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncResponse, error) {
	return m.Coordinator.Sync(ctx, req)
}

// FetchTable returns a part of the table in force.
func (m *Mesh) FetchTable(ctx context.Context, req *wire.FetchTableRequest) (*wire.FetchTableResponse, error) {
	return m.Coordinator.FetchTable(ctx, req)
}

// Acquire requests adapters.
func (m *Mesh) Acquire(ctx context.Context, req *wire.AcquireRequest) (*wire.AcquireResponse, error) {
	return &wire.AcquireResponse{}, m.Coordinator.Acquire(ctx, req)
}

// Relay takes announcements that another controller received.
func (m *Mesh) Relay(ctx context.Context, req *wire.RelayRequest) (*wire.RelayResponse, error) {
	later, err := m.Coordinator.ReceiveAnnouncements(ctx, req.GetAnnouncements(), true)
	return &wire.RelayResponse{Later: later}, err
}

// Put commits a change. Only a leader does.
func (m *Mesh) Put(ctx context.Context, req *wire.PutRequest) (*wire.PutResponse, error) {
	cmd := &wire.Command{}
	switch change := req.GetChange().(type) {
	case *wire.PutRequest_Table:
		cmd.Body = &wire.Command_PutTable{PutTable: change.Table}
	case *wire.PutRequest_Version:
		cmd.Body = &wire.Command_PutAdapterVersion{PutAdapterVersion: change.Version}
	case *wire.PutRequest_Departure:
		cmd.Body = &wire.Command_RecordDeparture{RecordDeparture: change.Departure}
	case *wire.PutRequest_ReleaseHeld:
		cmd.Body = &wire.Command_ReleaseHeld{ReleaseHeld: change.ReleaseHeld}
		m.Coordinator.Log.Info("a request was released from quarantine", "Fingerprint", change.ReleaseHeld.GetFingerprint(),
			"Reason", change.ReleaseHeld.GetReason())
	}
	if err := m.commit(ctx, cmd); err != nil {
		return nil, err
	}
	return &wire.PutResponse{}, nil
}

// Read returns the document in force after all changes that were acknowledged before the call:
// an empty entry is committed first, which only a leader with a majority can do.
func (m *Mesh) Read(ctx context.Context, _ *wire.ReadRequest) (*wire.ReadResponse, error) {
	if err := m.commit(ctx, &wire.Command{}); err != nil {
		return nil, err
	}
	table, err := m.Coordinator.Document(ctx)
	if err != nil {
		return nil, err
	}
	return &wire.ReadResponse{Version: table.GetTable().GetVersion(), Document: table.GetDocument()}, nil
}

// ListHeld returns the quarantined requests, after all changes that were acknowledged before
// the call. An instance that does not lead calls the leader.
func (m *Mesh) ListHeld(ctx context.Context, req *wire.ListHeldRequest) (*wire.ListHeldResponse, error) {
	if !m.Coordinator.Raft.Leads() {
		if leader := m.Leader(); leader != "" {
			return m.Client(leader).ListHeld(ctx, req)
		}
		return nil, errNotLeader
	}
	if err := m.commit(ctx, &wire.Command{}); err != nil {
		return nil, err
	}
	return m.Coordinator.Held(ctx)
}

// Release releases a quarantined request, here or at the leader.
func (m *Mesh) Release(ctx context.Context, release *wire.ReleaseHeld) error {
	return m.atLeader(ctx, &wire.PutRequest{Change: &wire.PutRequest_ReleaseHeld{ReleaseHeld: release}})
}

func (m *Mesh) commit(ctx context.Context, cmd *wire.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := m.Coordinator.Raft.Propose(ctx, cmd)
	if errors.Is(err, raftdriver.ErrNotLeader) {
		return errNotLeader
	}
	return err
}

// PutTable puts a table into force, here or at the leader. An invalid one is refused with all
// its faults.
func (m *Mesh) PutTable(ctx context.Context, table *wire.RoutingTable, document []byte) error {
	if faults := matcher.Faults(table); len(faults) > 0 {
		return &InvalidTableError{Faults: faults}
	}
	return m.atLeader(ctx, &wire.PutRequest{Change: &wire.PutRequest_Table{
		Table: &wire.PutTable{Table: table, Document: document},
	}})
}

// PutVersion sets the required version of an adapter.
func (m *Mesh) PutVersion(ctx context.Context, version *wire.AdapterVersion) error {
	return m.atLeader(ctx, &wire.PutRequest{Change: &wire.PutRequest_Version{Version: version}})
}

func (m *Mesh) atLeader(ctx context.Context, req *wire.PutRequest) error {
	if m.Coordinator.Raft.Leads() {
		_, err := m.Put(ctx, req)
		return err
	}
	leader := m.Leader()
	if leader == "" {
		return errNotLeader
	}
	_, err := m.Client(leader).Put(ctx, req)
	return err
}

// Document returns the newest document, confirmed by a majority, or an error if there is none
// yet.
func (m *Mesh) Document(ctx context.Context) ([]byte, error) {
	res, err := m.readAtLeader(ctx)
	if err != nil {
		return nil, err
	}
	if len(res.GetDocument()) == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "there is no table yet")
	}
	return res.GetDocument(), nil
}

func (m *Mesh) readAtLeader(ctx context.Context) (*wire.ReadResponse, error) {
	if m.Coordinator.Raft.Leads() {
		return m.Read(ctx, &wire.ReadRequest{})
	}
	leader := m.Leader()
	if leader == "" {
		return nil, errNotLeader
	}
	return m.Client(leader).Read(ctx, &wire.ReadRequest{})
}

// ReceiveAnnouncement takes an announcement. It is acknowledged only while a leader is known: a
// partitioned instance would not forward it to the others, and the backend server would keep
// announcing itself here. A departure is acknowledged once it outlives this instance.
func (m *Mesh) ReceiveAnnouncement(ctx context.Context, a *wire.Announcement) error {
	if _, err := m.Coordinator.ReceiveAnnouncements(ctx, []*wire.Announcement{a}, false); err != nil {
		return err
	}
	if a.GetDraining() || a.GetGone() {
		return m.recordDeparture(ctx, a)
	}
	if !m.knowsLeader() {
		return twirp.NewError(twirp.Unavailable, "this instance knows no leader")
	}
	return nil
}

// InvalidTableError is returned for a table that may not come into force.
type InvalidTableError struct{ Faults []string }

// Error returns all faults.
func (e *InvalidTableError) Error() string {
	text := "the table is invalid"
	for _, fault := range e.Faults {
		text += "; " + fault
	}
	return text
}
