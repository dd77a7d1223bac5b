package quarantiner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// story lets things happen to a quarantiner, a second apart.
type story struct {
	*Quarantiner
	now time.Time
}

func newStory() *story { return &story{Quarantiner: New(), now: begin()} }

// lost lets a start end under some requests.
func (s *story) lost(backend string, fingerprints ...string) {
	s.now = s.now.Add(time.Second)
	for _, fingerprint := range fingerprints {
		s.Observe(s.now, lostAt(fingerprint, backend))
	}
}

func (s *story) completed(fingerprint string) {
	s.Observe(s.now, &wire.RunReport{Fingerprint: fingerprint, Backend: "x", Completed: true})
}

// verdicts lets enough time pass, and returns what is to be held.
func (s *story) verdicts() []string {
	s.now = s.now.Add(settleTogether)
	var list []string
	for _, h := range s.Evaluate(s.now) {
		list = append(list, h.GetFingerprint())
	}
	return list
}

func (s *story) held(onTrial bool, fingerprints ...string) {
	var list []*wire.HeldRequest
	for _, fingerprint := range fingerprints {
		list = append(list, &wire.HeldRequest{Fingerprint: fingerprint, OnTrial: onTrial})
	}
	s.SetHeld(s.now, list)
}

func TestVerdicts(t *testing.T) {
	three := func(s *story, with ...string) {
		for i := range QuarantineThreshold {
			s.lost(fmt.Sprint(i), append(with, fmt.Sprint("other ", i))...)
		}
	}
	for name, test := range map[string]struct {
		happens func(s *story)
		want    []string
	}{
		"three ends":                  {func(s *story) { three(s, "f") }, []string{"f"}},
		"two ends":                    {func(s *story) { s.lost("a", "f"); s.lost("b", "f") }, nil},
		"three runs at two starts":    {func(s *story) { s.lost("a", "f"); s.lost("b", "f"); s.lost("b", "f") }, nil},
		"a run was completed between": {func(s *story) { s.lost("a", "f"); s.lost("b", "f"); s.completed("f"); s.lost("c", "f") }, nil},
		"a run is completed after":    {func(s *story) { three(s, "f"); s.completed("f") }, nil},
		"another has one end more": {func(s *story) {
			three(s, "f", "g")
			s.lost("d", "f")
		}, []string{"f"}},
		"as much speaks against both": {func(s *story) { three(s, "f", "g") }, []string{"f", "g"}},
		"a run from before the trial": {func(s *story) { s.held(true, "f"); s.Observe(s.now, lostAt("f", "a")) }, nil},
		"one had begun to answer": {func(s *story) {
			for i := range QuarantineThreshold {
				s.lost(fmt.Sprint(i), "f")
				s.Observe(s.now, &wire.RunReport{Fingerprint: "g", Backend: fmt.Sprint(i), Begun: true})
			}
		}, []string{"f"}},
		"what is held explains the others": {func(s *story) {
			s.held(false, "f")
			three(s, "f", "g")
		}, nil},
		"what was held first": {func(s *story) {
			three(s, "f", "g")
			s.SetHeld(s.now, []*wire.HeldRequest{{Fingerprint: "f", Backends: []string{"0", "1", "2"}}})
		}, nil},
		"the trial is lost":        {func(s *story) { s.held(true, "f"); s.lost("a", "f", "g") }, []string{"f"}},
		"what came before a trial": {func(s *story) { three(s, "f"); s.held(false, "f"); s.held(true, "f") }, nil},
		"it was released":          {func(s *story) { three(s, "f"); s.held(false, "f"); s.held(false) }, nil},
		"too long ago": {func(s *story) {
			s.lost("a", "f")
			s.now = s.now.Add(memory + time.Second)
			s.Tick(s.now)
			s.lost("b", "f")
			s.lost("c", "f")
		}, nil},
		"a report without a name":    {func(s *story) { three(s, "") }, nil},
		"all of it is told twice":    {func(s *story) { three(s, "f"); three(s, "f") }, []string{"f"}},
		"the verdict stands a while": {func(s *story) { three(s, "f"); s.verdicts() }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStory()
			test.happens(s)
			qt.New(t).Check(s.verdicts(), qt.DeepEquals, test.want)
		})
	}
}

// A verdict that does not come into force is given again.
func TestVerdictsAreGivenAgain(t *testing.T) {
	c := qt.New(t)
	s := newStory()
	for i := range QuarantineThreshold {
		s.lost(fmt.Sprint(i), "f")
	}
	c.Assert(s.verdicts(), qt.DeepEquals, []string{"f"})
	s.now = s.now.Add(2 * repeatVerdict)
	s.Tick(s.now)
	c.Check(s.verdicts(), qt.DeepEquals, []string{"f"})
	s.held(false, "f")
	s.now = s.now.Add(2 * repeatVerdict)
	s.Tick(s.now)
	c.Check(s.verdicts(), qt.HasLen, 0)
}

// What is completed though it is held is not the cause.
func TestWhatIsCompletedIsCleared(t *testing.T) {
	c := qt.New(t)
	s := newStory()
	s.held(false, "f")
	s.completed("g")
	s.completed("f")
	c.Check(s.TakeCleared(), qt.DeepEquals, []string{"f"})
	c.Check(s.TakeCleared(), qt.HasLen, 0)
}

// A gateway tells again what it has seen to a controller that has started anew, in any order
// with what others tell. A run that was completed before the ends does not speak against them,
// and one of long ago does not end a hold.
func TestOldCompletionsUndoNothing(t *testing.T) {
	for name, test := range map[string]struct {
		ago  time.Duration
		want int
	}{
		"before all ends":    {20 * time.Second, 1},
		"after two of three": {1500 * time.Millisecond, 0},
		"after all of them":  {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStory()
			for i := range QuarantineThreshold {
				s.lost(fmt.Sprint(i), "f")
			}
			s.Observe(s.now, &wire.RunReport{Fingerprint: "f", Backend: "x", Completed: true, AgoMs: uint32(test.ago.Milliseconds())})
			qt.New(t).Check(s.verdicts(), qt.HasLen, test.want)
		})
	}
	c := qt.New(t)
	s := newStory()
	s.held(false, "f")
	s.Observe(s.now, &wire.RunReport{Fingerprint: "f", Backend: "x", Completed: true, AgoMs: 60_000})
	c.Check(s.TakeCleared(), qt.HasLen, 0)
	// What another leader has released is not released again once it is held anew.
	s.completed("f")
	s.held(false)
	s.held(false, "f")
	c.Check(s.TakeCleared(), qt.HasLen, 0)
}

// A read that is at three starts when they end together is completed elsewhere at once,
// which has the time to be told; runs one after the other need not wait as long.
func TestEndsTogetherWaitLonger(t *testing.T) {
	for name, test := range map[string]struct {
		apart time.Duration
		wait  time.Duration
		held  int
	}{
		"together, soon":          {0, settle, 0},
		"together, later":         {0, settleTogether, 1},
		"one after another, soon": {time.Second, settle, 1},
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

// An outage of any size takes no more room than is given to it.
func TestEndsAreBounded(t *testing.T) {
	c := qt.New(t)
	q := New()
	for i := range maxEnds + 50 {
		q.Observe(begin(), lostAt(fmt.Sprint("f", i), fmt.Sprint(i)))
	}
	c.Check(len(q.ends), qt.Equals, maxEnds)
	c.Check(len(q.runs), qt.Equals, maxEnds)
	c.Check(q.Dropped(), qt.Equals, 50)
	q.Tick(begin().Add(2 * memory))
	c.Check(q.Empty(), qt.IsTrue)
	c.Check(q.runs, qt.HasLen, 0)
}
