package replicator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/membershipplanner"
	"bronzelead.example/pkg/replicator"
	"bronzelead.example/pkg/wire"
)

const (
	tick      = 10 * time.Millisecond
	heartbeat = 100 * time.Millisecond
	timeout   = 600 * time.Millisecond
)

// cluster runs members in virtual time on a network that loses, delays, duplicates and reorders
// messages.
type cluster struct {
	random      *rand.Rand
	now         time.Time
	members     map[string]*member
	network     []delivery
	partitioned map[[2]string]bool
	lossy       bool
	// startupVoteDelay applies to members that start from then on.
	startupVoteDelay time.Duration
	violations       []string
	leaders          map[uint64]string
	committed        map[uint64]string
	diskLosses       int
	// waiting maps a member's id and a command's data to the callback for the result.
	waiting map[string]func(applier.Result)
}

type delivery struct {
	at      time.Time
	message *wire.Message
}

// member is a replicator with a disk, which survives a crash, and a state machine.
type member struct {
	id, name string
	core     *replicator.Replicator
	state    *applier.StateMachine
	up       bool
	disk     disk
}

type disk struct {
	hardState *wire.HardState
	snapshot  *wire.Snapshot
	entries   []*wire.Entry
}

func newCluster(seed uint64, names ...string) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_000_000, 0),
		members: map[string]*member{}, partitioned: map[[2]string]bool{},
		leaders: map[uint64]string{}, committed: map[uint64]string{}, waiting: map[string]func(applier.Result){},
	}
	config := &wire.Configuration{}
	for _, name := range names {
		config.Voters = append(config.Voters, &wire.Member{Id: name + "/1", Name: name})
	}
	state, err := applier.InitialState(names)
	if err != nil {
		panic(err)
	}
	for _, name := range names {
		m := c.add(name, name+"/1")
		m.disk.hardState = &wire.HardState{Term: 1}
		m.disk.snapshot = &wire.Snapshot{Index: 1, Term: 1, State: state, Configuration: config}
		c.start(m)
	}
	return c
}

func (c *cluster) add(name, id string) *member {
	m := &member{id: id, name: name}
	c.members[name] = m
	return m
}

// start starts a member from its disk.
func (c *cluster) start(m *member) {
	m.core = &replicator.Replicator{
		ID: m.id, Heartbeat: heartbeat, ElectionTimeout: timeout, StartupVoteDelay: c.startupVoteDelay, Random: c.random.Int64N, MaxEntries: 8,
	}
	m.state = applier.New()
	if m.disk.snapshot != nil {
		m.state, _ = applier.Restore(m.disk.snapshot.GetState())
	}
	stored := replicator.PersistedState{HardState: m.disk.hardState, Entries: slices.Clone(m.disk.entries)}
	if m.disk.snapshot != nil {
		stored.Snapshot = proto.CloneOf(m.disk.snapshot)
	}
	m.core.Start(c.now, stored)
	m.up = true
}

// loseDisk restarts an instance with an empty disk and so as a new incarnation.
func (c *cluster) loseDisk(name string) {
	c.diskLosses++
	c.start(c.add(name, fmt.Sprintf("%s/lost-%d", name, c.diskLosses)))
}

func (c *cluster) sorted() []*member {
	all := make([]*member, 0, len(c.members))
	for _, m := range c.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *member) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return all
}

// run advances the virtual time.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(tick)
		c.deliver()
		for _, m := range c.sorted() {
			if m.up {
				m.core.Tick(c.now)
				c.proposeMembership(m)
				c.processReady(m)
			}
		}
		c.check()
	}
}

func (c *cluster) deliver() {
	due := c.network
	c.network = nil
	for _, d := range due {
		if d.at.After(c.now) {
			c.network = append(c.network, d)
			continue
		}
		for _, m := range c.members {
			if m.id == d.message.GetTo() && m.up && !c.partitioned[[2]string{d.message.GetFrom(), m.id}] {
				m.core.Step(c.now, proto.CloneOf(d.message))
				c.processReady(m)
			}
		}
	}
}

func (c *cluster) send(m *wire.Message) {
	copies := 1
	if c.lossy {
		copies = c.random.IntN(10)
		copies = min(copies, 1+copies/9)
	}
	for range copies {
		delay := time.Duration(c.random.Int64N(int64(30 * time.Millisecond)))
		if c.lossy && c.random.IntN(20) == 0 {
			delay = time.Duration(c.random.Int64N(int64(3 * time.Second)))
		}
		c.network = append(c.network, delivery{at: c.now.Add(delay), message: m})
	}
}

// processReady does the work that a member returns, as a controller would.
func (c *cluster) processReady(m *member) {
	for {
		rd := m.core.TakeReady()
		if rd.Empty() {
			return
		}
		c.persist(m, &rd)
		for _, msg := range rd.Messages {
			c.send(msg)
		}
		for _, e := range rd.Committed {
			c.apply(m, e)
		}
	}
}

func (c *cluster) persist(m *member, rd *replicator.Ready) {
	if rd.HardState != nil {
		m.disk.hardState = rd.HardState
	}
	if rd.Snapshot != nil {
		m.disk.snapshot, m.disk.entries = proto.CloneOf(rd.Snapshot), nil
		m.state, _ = applier.Restore(rd.Snapshot.GetState())
	}
	for _, e := range rd.Entries {
		keep := e.GetIndex() - m.disk.snapshot.GetIndex() - 1
		m.disk.entries = append(m.disk.entries[:keep], e)
	}
	if n := len(rd.Entries); n > 0 {
		m.core.Synced(rd.Entries[n-1].GetIndex())
	}
}

func (c *cluster) apply(m *member, e *wire.Entry) {
	text := fmt.Sprintf("%d/%x", e.GetTerm(), e.GetData())
	if known, ok := c.committed[e.GetIndex()]; ok && known != text {
		c.violations = append(c.violations, fmt.Sprintf("two entries were committed at index %d", e.GetIndex()))
	}
	c.committed[e.GetIndex()] = text
	result := m.state.Apply(e)
	if done := c.waiting[m.id+string(e.GetData())]; done != nil {
		delete(c.waiting, m.id+string(e.GetData()))
		done(result)
	}
	if e.GetIndex()%25 == 0 {
		state, _ := m.state.Snapshot()
		s := &wire.Snapshot{Index: e.GetIndex(), State: state}
		if m.core.Compact(s) == nil {
			m.disk.snapshot, m.disk.entries = proto.CloneOf(s), slices.Clone(m.core.StoredEntries())
		}
	}
}

func (c *cluster) proposeMembership(m *member) {
	if m.core.Role() != replicator.Leader || m.state.Applied() < m.core.TermStart() {
		return
	}
	var joining []*wire.Member
	for _, other := range c.sorted() {
		if other.up {
			joining = append(joining, &wire.Member{Id: other.id, Name: other.name})
		}
	}
	next := membershipplanner.NextConfiguration(membershipplanner.ClusterState{
		Configuration: m.core.Configuration(), Joining: joining, Admitted: m.state.Admitted,
		CaughtUp: m.core.CaughtUp, Leader: m.id,
	})
	if next != nil {
		_, _ = m.core.ChangeMembers(next)
	}
}

// check records violations of the safety properties.
func (c *cluster) check() {
	leaseHolders := 0
	for _, m := range c.members {
		if !m.up || m.core.Role() != replicator.Leader {
			continue
		}
		if m.core.Leads(c.now) {
			leaseHolders++
		}
		if other, ok := c.leaders[m.core.Term()]; ok && other != m.id {
			c.violations = append(c.violations, fmt.Sprintf("two leaders in term %d", m.core.Term()))
		}
		c.leaders[m.core.Term()] = m.id
	}
	if leaseHolders > 1 {
		c.violations = append(c.violations, "two members hold the leader's lease")
	}
}

// leader returns a member that leads with a lease, or nil.
func (c *cluster) leader() *member {
	for _, m := range c.sorted() {
		if m.up && m.core.Leads(c.now) {
			return m
		}
	}
	return nil
}

// anyLeader returns a member in the leader's role, with or without a lease.
func (c *cluster) anyLeader() *member {
	for _, m := range c.sorted() {
		if m.up && m.core.Role() == replicator.Leader {
			return m
		}
	}
	return nil
}

// propose proposes a command at a member and calls done with the result, if there is one.
func (c *cluster) propose(m *member, cmd *wire.Command, done func(applier.Result)) {
	cmd.AtNs = c.now.UnixNano()
	data, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	if _, err := m.core.Propose(data); err != nil {
		return
	}
	c.waiting[m.id+string(data)] = done
	m.core.Flush(c.now)
	c.processReady(m)
}

// isolate partitions a member from all others, or reconnects it.
func (c *cluster) isolate(id string, partitioned bool) {
	for _, other := range c.members {
		c.partitioned[[2]string{id, other.id}] = partitioned
		c.partitioned[[2]string{other.id, id}] = partitioned
	}
}

func (c *cluster) disconnect(a, b string) {
	c.partitioned[[2]string{a, b}], c.partitioned[[2]string{b, a}] = true, true
}

func (c *cluster) heal() {
	c.partitioned = map[[2]string]bool{}
	c.lossy = false
	for _, m := range c.sorted() {
		if !m.up {
			c.start(m)
		}
	}
}
