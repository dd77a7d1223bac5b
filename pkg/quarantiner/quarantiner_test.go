package quarantiner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// fixture drives a quarantiner with a clock that advances one second for each crash.
type fixture struct {
	*Quarantiner
	now time.Time
}

func newFixture() *fixture { return &fixture{Quarantiner: New(), now: begin()} }

// crash reports that an incarnation crashed under some requests.
func (s *fixture) crash(backend string, fingerprints ...string) {
	s.now = s.now.Add(time.Second)
	for _, fingerprint := range fingerprints {
		s.Observe(s.now, lostAt(fingerprint, backend))
	}
}

func (s *fixture) completed(fingerprint string) {
	s.Observe(s.now, &wire.RunReport{Fingerprint: fingerprint, Backend: "x", Completed: true})
}

// decisions advances the clock past the settle delay and returns the fingerprints to
// quarantine.
func (s *fixture) decisions() []string {
	s.now = s.now.Add(concurrentSettleDelay)
	var list []string
	for _, h := range s.Evaluate(s.now) {
		list = append(list, h.GetFingerprint())
	}
	return list
}

func (s *fixture) held(onTrial bool, fingerprints ...string) {
	var list []*wire.HeldRequest
	for _, fingerprint := range fingerprints {
		list = append(list, &wire.HeldRequest{Fingerprint: fingerprint, OnTrial: onTrial})
	}
	s.SetHeld(s.now, list)
}

func TestDecisions(t *testing.T) {
	three := func(s *fixture, with ...string) {
		for i := range QuarantineThreshold {
			s.crash(fmt.Sprint(i), append(with, fmt.Sprint("other ", i))...)
		}
	}
	for name, test := range map[string]struct {
		act  func(s *fixture)
		want []string
	}{
		"three crashes":                  {func(s *fixture) { three(s, "f") }, []string{"f"}},
		"two crashes":                    {func(s *fixture) { s.crash("a", "f"); s.crash("b", "f") }, nil},
		"three runs at two incarnations": {func(s *fixture) { s.crash("a", "f"); s.crash("b", "f"); s.crash("b", "f") }, nil},
		"a run was completed between":    {func(s *fixture) { s.crash("a", "f"); s.crash("b", "f"); s.completed("f"); s.crash("c", "f") }, nil},
		"a run is completed after":       {func(s *fixture) { three(s, "f"); s.completed("f") }, nil},
		"another has one crash more": {func(s *fixture) {
			three(s, "f", "g")
			s.crash("d", "f")
		}, []string{"f"}},
		"equal evidence against both": {func(s *fixture) { three(s, "f", "g") }, []string{"f", "g"}},
		"a run from before the trial": {func(s *fixture) { s.held(true, "f"); s.Observe(s.now, lostAt("f", "a")) }, nil},
		"one had begun its answer": {func(s *fixture) {
			for i := range QuarantineThreshold {
				s.crash(fmt.Sprint(i), "f")
				s.Observe(s.now, &wire.RunReport{Fingerprint: "g", Backend: fmt.Sprint(i), Begun: true})
			}
		}, []string{"f"}},
		"a quarantined request accounts for the crashes": {func(s *fixture) {
			s.held(false, "f")
			three(s, "f", "g")
		}, nil},
		"the request quarantined first accounts for them": {func(s *fixture) {
			three(s, "f", "g")
			s.SetHeld(s.now, []*wire.HeldRequest{{Fingerprint: "f", Backends: []string{"0", "1", "2"}}})
		}, nil},
		"the trial is lost":      {func(s *fixture) { s.held(true, "f"); s.crash("a", "f", "g") }, []string{"f"}},
		"crashes before a trial": {func(s *fixture) { three(s, "f"); s.held(false, "f"); s.held(true, "f") }, nil},
		"it was released":        {func(s *fixture) { three(s, "f"); s.held(false, "f"); s.held(false) }, nil},
		"too long ago": {func(s *fixture) {
			s.crash("a", "f")
			s.now = s.now.Add(retention + time.Second)
			s.Tick(s.now)
			s.crash("b", "f")
			s.crash("c", "f")
		}, nil},
		"a report without a name":            {func(s *fixture) { three(s, "") }, nil},
		"all reports are duplicated":         {func(s *fixture) { three(s, "f"); three(s, "f") }, []string{"f"}},
		"a pending decision is not repeated": {func(s *fixture) { three(s, "f"); s.decisions() }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture()
			test.act(s)
			qt.New(t).Check(s.decisions(), qt.DeepEquals, test.want)
		})
	}
}

// A decision that does not take effect is repeated.
func TestUncommittedDecisionsAreRepeated(t *testing.T) {
	c := qt.New(t)
	s := newFixture()
	for i := range QuarantineThreshold {
		s.crash(fmt.Sprint(i), "f")
	}
	c.Assert(s.decisions(), qt.DeepEquals, []string{"f"})
	s.now = s.now.Add(2 * decisionRetryInterval)
	s.Tick(s.now)
	c.Check(s.decisions(), qt.DeepEquals, []string{"f"})
	s.held(false, "f")
	s.now = s.now.Add(2 * decisionRetryInterval)
	s.Tick(s.now)
	c.Check(s.decisions(), qt.HasLen, 0)
}

// A request that is completed while quarantined is not the cause.
func TestCompletedRequestsAreCleared(t *testing.T) {
	c := qt.New(t)
	s := newFixture()
	s.held(false, "f")
	s.completed("g")
	s.completed("f")
	c.Check(s.TakeCleared(), qt.DeepEquals, []string{"f"})
	c.Check(s.TakeCleared(), qt.HasLen, 0)
}

// Gateways resend their reports to a restarted controller, in any order with those of others. A
// completion before the crashes does not clear a request of them, and an old one does not
// release a quarantined request.
func TestOutdatedCompletionsAreIgnored(t *testing.T) {
	for name, test := range map[string]struct {
		ago  time.Duration
		want int
	}{
		"before all crashes": {20 * time.Second, 1},
		"after two of three": {1500 * time.Millisecond, 0},
		"after all of them":  {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture()
			for i := range QuarantineThreshold {
				s.crash(fmt.Sprint(i), "f")
			}
			s.Observe(s.now, &wire.RunReport{Fingerprint: "f", Backend: "x", Completed: true, AgoMs: uint32(test.ago.Milliseconds())})
			qt.New(t).Check(s.decisions(), qt.HasLen, test.want)
		})
	}
	c := qt.New(t)
	s := newFixture()
	s.held(false, "f")
	s.Observe(s.now, &wire.RunReport{Fingerprint: "f", Backend: "x", Completed: true, AgoMs: 60_000})
	c.Check(s.TakeCleared(), qt.HasLen, 0)
	// A request that another leader has released is not released again once it is quarantined
	// anew.
	s.completed("f")
	s.held(false)
	s.held(false, "f")
	c.Check(s.TakeCleared(), qt.HasLen, 0)
}

// A read that runs at three incarnations when they crash together is completed elsewhere
// shortly after; the longer delay leaves time for that report. Sequential runs need less.
func TestConcurrentCrashesSettleLonger(t *testing.T) {
	for name, test := range map[string]struct {
		apart time.Duration
		wait  time.Duration
		held  int
	}{
		"concurrent, after the short delay": {0, settleDelay, 0},
		"concurrent, after the long delay":  {0, concurrentSettleDelay, 1},
		"sequential, after the short delay": {time.Second, settleDelay, 1},
	} {
		t.Run(name, func(t *testing.T) {
			q, now := New(), begin()
			for i := range QuarantineThreshold {
				now = now.Add(test.apart)
				q.Observe(now, &wire.RunReport{Fingerprint: "f", Backend: fmt.Sprint(i), RanMs: 300})
			}
			qt.New(t).Check(q.Evaluate(now.Add(test.wait)), qt.HasLen, test.held)
		})
	}
}

// Stored crashes stay bounded in an outage of any size.
func TestCrashesAreBounded(t *testing.T) {
	c := qt.New(t)
	q := New()
	for i := range maxCrashes + 50 {
		q.Observe(begin(), lostAt(fmt.Sprint("f", i), fmt.Sprint(i)))
	}
	c.Check(len(q.crashes), qt.Equals, maxCrashes)
	c.Check(len(q.records), qt.Equals, maxCrashes)
	c.Check(q.Dropped(), qt.Equals, 50)
	q.Tick(begin().Add(2 * retention))
	c.Check(q.Empty(), qt.IsTrue)
	c.Check(q.records, qt.HasLen, 0)
}
