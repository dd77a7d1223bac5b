package waitestimator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

func start() time.Time { return time.Unix(1e9, 0) }

// A request must not be refused because of knowledge that does not apply to it or is out of date.
func TestBusy(t *testing.T) {
	refusal := func(e *Estimator) {
		e.Refused(start(), "b", Refusal{Owner: "o", Urgency: 1, Left: 300 * ms, For: 100 * ms})
	}
	report := func(wait, age time.Duration) func(e *Estimator) {
		return func(e *Estimator) { e.Report(start(), "b", Report{Wait: wait, ServiceTime: 60 * ms, Age: age}) }
	}
	both := func(all ...func(e *Estimator)) func(e *Estimator) {
		return func(e *Estimator) {
			for _, f := range all {
				f(e)
			}
		}
	}
	for name, test := range map[string]struct {
		learn func(e *Estimator)
		after time.Duration
		r     Request
		want  bool
	}{
		"nothing is known":        {func(*Estimator) {}, 0, Request{Left: -ms}, false},
		"as much time left":       {refusal, 50 * ms, Request{Urgency: 1, Left: 300 * ms}, true},
		"hardly more time left":   {refusal, 50 * ms, Request{Urgency: 1, Left: 320 * ms}, true},
		"more time left":          {refusal, 50 * ms, Request{Urgency: 1, Left: 400 * ms}, false},
		"less urgent":             {refusal, 50 * ms, Request{Urgency: 2, Left: 300 * ms}, true},
		"more urgent":             {refusal, 50 * ms, Request{Urgency: 0, Left: 300 * ms}, false},
		"the refusal has expired": {refusal, 100 * ms, Request{Urgency: 1, Left: 300 * ms}, false},
		"returned":                {refusal, 50 * ms, Request{Urgency: 1, Left: 100 * ms, Returned: true}, false},
		"returned, and late":      {refusal, 50 * ms, Request{Urgency: 1, Left: -ms, Returned: true}, true},
		"returned with less than the service time": {both(refusal, report(0, 0)), 50 * ms, Request{Urgency: 1, Left: 70 * ms, Returned: true}, true},
		"granted since":                       {both(refusal, func(e *Estimator) { e.Granted("b") }), 50 * ms, Request{Urgency: 1, Left: 300 * ms}, false},
		"the owner is lost":                   {both(refusal, func(e *Estimator) { e.ForgetOwner("o") }), 50 * ms, Request{Urgency: 1, Left: 300 * ms}, false},
		"another owner is lost":               {both(refusal, func(e *Estimator) { e.ForgetOwner("p") }), 50 * ms, Request{Urgency: 1, Left: 300 * ms}, true},
		"a later refusal with less time left": {both(refusal, func(e *Estimator) { e.Refused(start(), "b", Refusal{Urgency: 1, For: 10 * ms}) }), 50 * ms, Request{Urgency: 1, Left: 300 * ms}, true},
		"a refusal without an end":            {func(e *Estimator) { e.Refused(start(), "b", Refusal{Left: 300 * ms, For: time.Hour}) }, maxRefusedFor, Request{Left: 300 * ms}, false},
		"a long wait":                         {report(250*ms, 0), 0, Request{Left: 300 * ms}, true},
		"a long wait as of a while ago":       {report(250*ms, 50*ms), 0, Request{Left: 300 * ms}, false},
		"a short wait":                        {report(200*ms, 0), 0, Request{Left: 300 * ms}, false},
		"no wait for a late request":          {report(0, 0), 0, Request{Left: -ms}, false},
		"an old report":                       {report(time.Hour, 0), maxAge, Request{Left: 300 * ms}, false},
		"a report that was old on arrival":    {report(time.Hour, maxAge), 0, Request{Left: 300 * ms}, false},
		"an older report than the known":      {both(report(0, 0), report(time.Hour, 100*ms)), 0, Request{Left: 300 * ms}, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := &Estimator{}
			test.learn(e)
			got := e.AppendBusy(nil, start().Add(test.after), test.r)
			qt.New(t).Check(len(got) == 1, qt.Equals, test.want)
		})
	}
}

// The end of an overload must be seen, at the cost of few requests.
func TestProbesAreRare(t *testing.T) {
	c := qt.New(t)
	e := &Estimator{}
	probes := 0
	for i := range 1000 {
		if e.TakeProbe(start().Add(time.Duration(i) * ms)) {
			probes++
		}
	}
	c.Check(probes, qt.Equals, int(time.Second/probeInterval))
}

// Backend servers come and go for as long as a gateway runs.
func TestExpiredKnowledgeIsRemoved(t *testing.T) {
	c := qt.New(t)
	e := &Estimator{}
	for i := range 100 {
		now := start().Add(time.Duration(i) * pruneInterval)
		e.Refused(now, fmt.Sprint("refused ", i), Refusal{Left: ms, For: ms})
		e.Report(now, fmt.Sprint("reported ", i), Report{Wait: ms, ServiceTime: ms})
	}
	c.Check(len(e.backends) <= 4, qt.IsTrue, qt.Commentf("%d", len(e.backends)))
}

func BenchmarkAppendBusy(b *testing.B) {
	e := &Estimator{}
	for i := range 7 {
		e.Refused(start(), fmt.Sprint(i), Refusal{Left: 300 * ms, For: 300 * ms})
		e.Report(start(), fmt.Sprint(i), Report{Wait: 10 * ms, ServiceTime: 60 * ms})
	}
	list := make([]string, 0, 8)
	b.ReportAllocs()
	for b.Loop() {
		list = e.AppendBusy(list[:0], start(), Request{Left: 300 * ms})
	}
}
