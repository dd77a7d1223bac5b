package slotgranter

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// sharedGranter returns a granter whose slots are all taken, where a customer "above" has
// lately been granted most slots.
func sharedGranter(c *qt.C, now time.Time) *Granter {
	g := &Granter{}
	g.shares.Record(now, "above", 0, 200)
	for i := range 10 {
		g.shares.Record(now, fmt.Sprint("within ", i), 0, 5)
	}
	for i := range slots + extraSlots {
		c.Assert(g.Add(now, sharedRequest(now, fmt.Sprint("runs ", i), "")), qt.IsTrue)
	}
	c.Assert(g.Next(now), qt.HasLen, slots+extraSlots)
	return g
}

func sharedRequest(now time.Time, key, customer string) GrantRequest {
	return GrantRequest{Key: key, Customer: customer, OnTimeUntil: now.Add(objective), Deadline: now.Add(deadline), Slots: slots}
}

// Requests of customers within their shares go before those of a customer above its share, after
// urgent ones and before those that can't be on time; among them the least time left counts.
func TestOrderOfCustomers(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	g := sharedGranter(c, now)
	change := func(a GrantRequest, urgency uint32, onTime time.Duration) GrantRequest {
		a.Urgency, a.OnTimeUntil = urgency, now.Add(onTime)
		return a
	}
	for _, a := range []GrantRequest{
		change(sharedRequest(now, "late", "within 1"), 0, -ms),
		change(sharedRequest(now, "less urgent", "within 1"), 2, objective),
		change(sharedRequest(now, "above, less time", "above"), 1, objective-2*ms),
		change(sharedRequest(now, "more time", "within 2"), 1, objective),
		change(sharedRequest(now, "less time", "within 1"), 1, objective-ms),
		change(sharedRequest(now, "urgent", "above"), 0, objective),
	} {
		c.Assert(g.Add(now, a), qt.IsTrue)
	}
	var got []string
	for range 6 {
		for key := range g.running {
			g.Release(now, key, false)
			break
		}
		granted := g.Next(now)
		c.Assert(granted, qt.HasLen, 1)
		got = append(got, granted[0].Key)
	}
	c.Check(got, qt.DeepEquals, []string{"urgent", "less time", "more time", "above, less time", "less urgent", "late"})
}

// Under overload the request that is refused must be one of the customer furthest above its
// share, and not the one that came last. It must be refused at once.
func TestRefusedRequestsAreThoseAboveTheirShare(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	g := sharedGranter(c, now)
	waiting := 0
	for ; g.Add(now, sharedRequest(now, fmt.Sprint("above ", waiting), "above")); waiting++ {
		c.Check(g.Evict(now), qt.HasLen, 0)
	}
	c.Assert(waiting > 0, qt.IsTrue)
	for i := range waiting {
		c.Assert(g.Add(now, sharedRequest(now, fmt.Sprint("within ", i), "within 1")), qt.IsTrue)
		evicted := g.Evict(now)
		c.Assert(evicted, qt.HasLen, 1)
		c.Check(evicted[0].Key, qt.Equals, fmt.Sprint("above ", waiting-1-i))
	}
	c.Check(g.Add(now, sharedRequest(now, "last", "within 1")), qt.IsFalse, qt.Commentf("all that wait are within their shares"))
	stats := g.TakeStats()
	c.Check(stats.AboveShare, qt.Equals, waiting+1)
	above := g.TakeAboveShare(now)
	c.Assert(above, qt.HasLen, 1)
	c.Check(above[0].Customer, qt.Equals, "above")
	c.Check(above[0].Refused, qt.Equals, waiting+1)
}

// Without customers all requests are of one share, and none is displaced.
func TestRequestsWithoutCustomersAreNotDisplaced(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	g := &Granter{}
	for i := 0; g.Add(now, sharedRequest(now, fmt.Sprint(i), "")); i++ {
		for _, a := range g.Next(now) {
			c.Check(a.excess, qt.Equals, 0.0)
		}
		c.Check(g.Evict(now), qt.HasLen, 0)
	}
	c.Check(g.TakeStats().AboveShare, qt.Equals, 0)
	c.Check(g.TakeAboveShare(now), qt.HasLen, 0)
}

// A grant whose request is not sent is no usage: a customer whose requests were denied elsewhere would
// otherwise go last.
func TestUnusedGrantsAreNoUsage(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	g := &Granter{}
	grant := func(key, customer string, ran bool) {
		c.Assert(g.Add(now, sharedRequest(now, key, customer)), qt.IsTrue)
		c.Assert(g.Next(now), qt.HasLen, 1)
		g.Release(now, key, ran)
	}
	for i := range 50 {
		grant(fmt.Sprint("a ", i), "a", true)
		grant(fmt.Sprint("b ", i), "b", true)
		for j := range 3 {
			grant(fmt.Sprint("unused ", i, j), "b", false)
		}
	}
	c.Check(g.shares.Excess("b"), qt.Equals, g.shares.Excess("a"))
}
