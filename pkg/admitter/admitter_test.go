package admitter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bronzelead.example/pkg/admitter"
	"bronzelead.example/pkg/wire"
)

const name = "volantes"

func start() time.Time { return time.Unix(1000, 0) }

func newAdmitter(share, limit, queue uint32) *admitter.Admitter {
	a := &admitter.Admitter{}
	a.SetContract(&wire.Contract{Customer: name, RequestsAtOnce: limit, QueueLength: queue})
	a.SetShare(name, share)
	return a
}

func request(id int, priority int32, deadline time.Duration) admitter.Request {
	return admitter.Request{ID: admitter.RequestID(id), Customer: name, Priority: priority, Deadline: start().Add(deadline)}
}

func TestSubmit(t *testing.T) {
	cases := map[string]struct {
		share, limit, queue uint32
		before              int
		deadline            time.Duration
		admitted            bool
		reason              admitter.Reason
	}{
		"room":                                {share: 2, limit: 2, queue: 1, before: 1, deadline: time.Second, admitted: true},
		"no room, but a place in the queue":   {share: 1, limit: 1, queue: 1, before: 1, deadline: time.Second},
		"neither":                             {share: 1, limit: 1, queue: 1, before: 2, deadline: time.Second, reason: admitter.QueueFull},
		"no queue, but the share may grow":    {share: 0, limit: 2, queue: 0, before: 1, deadline: time.Second},
		"no queue, and the share is used up":  {share: 2, limit: 2, queue: 0, before: 2, deadline: time.Second, reason: admitter.QueueFull},
		"the deadline has passed":             {share: 2, limit: 2, queue: 1, reason: admitter.TooLate},
		"the deadline passed before arriving": {share: 2, limit: 2, queue: 1, deadline: -time.Second, reason: admitter.TooLate},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a := newAdmitter(tc.share, tc.limit, tc.queue)
			for i := range tc.before {
				a.Submit(start(), request(i+1, 0, time.Minute))
			}
			admitted, refusal := a.Submit(start(), request(99, 0, tc.deadline))
			c.Assert(admitted, qt.Equals, tc.admitted)
			c.Assert(refusal != nil, qt.Equals, tc.reason != 0)
			if refusal != nil {
				c.Assert(refusal.Reason, qt.Equals, tc.reason)
				c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
			}
		})
	}
}

func TestQueueOrder(t *testing.T) {
	c := qt.New(t)
	a := newAdmitter(1, 1, 10)
	a.Submit(start(), request(1, 0, time.Minute))
	a.Submit(start(), request(2, 1, time.Minute))
	a.Submit(start(), request(3, 9, time.Minute))
	a.Submit(start(), request(4, 1, time.Minute))
	a.Submit(start(), request(5, 9, time.Second))
	var order []admitter.RequestID
	for range 4 {
		a.Complete(name, time.Second)
		admitted, _ := a.Next(start().Add(2 * time.Second))
		order = append(order, admitted...)
	}
	// The deadline of request 5 passed in the queue.
	c.Assert(order, qt.DeepEquals, []admitter.RequestID{3, 2, 4})
}

func TestRequestsThatCannotMeetTheirDeadlineAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	a := newAdmitter(1, 1, 1000)
	for i := range 30 {
		a.Submit(start(), request(i, 0, time.Hour))
		a.Complete(name, 2*time.Second)
	}
	a.Submit(start(), request(100, 0, time.Hour))
	for i := range 10 {
		a.Submit(start(), request(200+i, 0, time.Hour))
	}
	_, refusal := a.Submit(start(), request(300, 0, 5*time.Second))
	c.Assert(refusal, qt.IsNotNil)
	c.Assert(refusal.Reason, qt.Equals, admitter.TooLate)
	c.Assert(refusal.RetryAfter > 15*time.Second, qt.IsTrue, qt.Commentf("retry after %s", refusal.RetryAfter))
}

func TestRunningNeverExceedsTheShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := newAdmitter(3, 10, 5)
		running, next := 0, 0
		now := start()
		limit := 3
		for range 200 {
			now = now.Add(10 * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				next++
				if admitted, _ := a.Submit(now, request(next, 0, time.Minute)); admitted {
					running++
				}
			case 1:
				if running > 0 {
					running--
					a.Complete(name, time.Second)
				}
			case 2:
				a.Cancel(admitter.RequestID(rapid.IntRange(1, 200).Draw(rt, "id")))
			case 3:
				limit = rapid.IntRange(0, 6).Draw(rt, "share")
				a.SetShare(name, uint32(limit))
			}
			before := running
			admitted, _ := a.Next(now)
			running += len(admitted)
			if running > limit && running > before {
				rt.Fatalf("%d run with a share of %d", running, limit)
			}
			if int(a.Running(name)) != running {
				rt.Fatalf("%d are counted, %d run", a.Running(name), running)
			}
		}
	})
}
