package regulator

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/pacer"
	"bronzelead.example/pkg/wire"
)

// slotOf returns a request of a customer for the slot of a backend server.
func slotOf(backend, customer string) *Prompt {
	now := time.Now()
	return &Prompt{Backend: backend, Slots: 2, Customer: customer, Deadline: now.Add(longWait), GrantRequest: pacer.GrantRequest{
		ReceivedAt: now, OnTimeUntil: now.Add(400 * time.Millisecond),
	}}
}

// The owner knows the customers of other gateways' requests: it refuses those above their share
// in favor of others, and names them in its log.
func TestOwnerKnowsCustomersOfOtherGateways(t *testing.T) {
	c := qt.New(t)
	all, addresses := gateways(c, 2)
	var mu sync.Mutex
	log := &bytes.Buffer{}
	owner, other := all[1], all[0]
	owner.Log = slog.New(slog.NewTextHandler(lockedWriter{&mu, log}, nil))
	owner.Meter = meter.New("gateway", "g", "z")
	id := engineOf(other, addresses[1])
	acquire := func(customer string) Result {
		return other.Acquire(context.Background(), slotOf(id, customer), 300*time.Millisecond)
	}
	for range 30 {
		result := acquire("above")
		c.Assert(result.Granted, qt.IsTrue)
		// Only requests that ran count as usage.
		pass(10 * time.Millisecond)
		other.Release(id, result.Key, true)
	}
	c.Assert(acquire("within").Granted, qt.IsTrue)
	var wait sync.WaitGroup
	var refused, granted int
	for range 150 {
		wait.Go(func() {
			result := acquire("above")
			mu.Lock()
			defer mu.Unlock()
			if result.Granted {
				granted++
			} else {
				refused++
			}
		})
	}
	wait.Wait()
	c.Check(refused > 0, qt.IsTrue, qt.Commentf("%d granted", granted))
	owner.mu.Lock()
	owner.logAboveShare(time.Now(), id, owner.engine(id))
	owner.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	c.Check(log.String(), qt.Contains, "customers above their share of the slots were refused")
	c.Check(log.String(), qt.Contains, `\"above\": `)
}

type lockedWriter struct {
	mu *sync.Mutex
	w  *bytes.Buffer
}

func (w lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.w.Write(p)
}

// Limits of the table weight the shares of the owner.
func TestLimitsWeightShares(t *testing.T) {
	c := qt.New(t)
	r := newRegulator("self")
	r.SetCustomers([]*wire.RoutedCustomer{
		{Name: "large", Limit: &wire.CustomerLimit{Unit: wire.LimitUnit_LIMIT_UNIT_REQUESTS, RatePerSecond: 90}},
		{Name: "small", Limit: &wire.CustomerLimit{Unit: wire.LimitUnit_LIMIT_UNIT_REQUESTS, RatePerSecond: 10}},
	})
	for range 40 {
		for _, customer := range []string{"large", "small"} {
			result := r.Acquire(context.Background(), slotOf("b", customer), longWait)
			c.Assert(result.Granted, qt.IsTrue)
			r.Release("b", result.Key, true)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	above := r.engine("b").granter.TakeAboveShare(time.Now())
	c.Assert(above, qt.HasLen, 1)
	c.Check(above[0].Customer, qt.Equals, "small")
}
