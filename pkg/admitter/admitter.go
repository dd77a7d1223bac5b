// Package admitter decides which requests of a customer are admitted: as many run concurrently
// as the gateway's share of the customer's limit allows, the rest wait in queues by priority,
// and those that can't be served in time are refused at once with a retry time.
//
// It has no side effects and is not safe for concurrent use.
package admitter

import (
	"container/heap"
	"time"

	"bronzelead.example/pkg/wire"
)

// RequestID identifies a request within one gateway.
type RequestID uint64

// Request holds the attributes of a request that admission depends on.
type Request struct {
	ID       RequestID
	Customer string
	// Priority is the class's; higher goes first.
	Priority int32
	// Deadline is when an answer is of no use any more.
	Deadline time.Time
}

// Reason is why a request was refused.
type Reason int

// Reasons for a refusal.
const (
	// QueueFull means that as many requests wait as the contract allows.
	QueueFull Reason = iota + 1
	// TooLate means that the deadline has passed or can't be met.
	TooLate
	// NoContract means that the customer has no contract any more.
	NoContract
)

// Refusal is the final answer to a request that did not run.
type Refusal struct {
	ID     RequestID
	Reason Reason
	// RetryAfter is when a new attempt is likely to be admitted.
	RetryAfter time.Duration
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
	// sampleWeight is the weight of a new sample in the mean duration of a request.
	sampleWeight = 0.1
	// minSamples is the number of samples from which requests are refused early by the mean.
	minSamples = 20
)

// Admitter holds the queues of all customers. The zero value is ready to use.
type Admitter struct {
	customers map[string]*customer
	queued    map[RequestID]*waiter
	arrivals  uint64
}

type customer struct {
	contract     *wire.Contract
	share        uint32
	running      uint32
	queue        queue
	meanDuration time.Duration
	samples      int
	changed      bool
}

// SetContract sets the contract of a customer.
func (a *Admitter) SetContract(c *wire.Contract) {
	a.customer(c.GetCustomer()).contract = c
}

// SetShare sets how many requests of a customer may run here concurrently. It affects new
// requests; running ones are not stopped.
func (a *Admitter) SetShare(name string, share uint32) {
	c := a.customer(name)
	c.share = share
	c.changed = true
}

func (a *Admitter) customer(name string) *customer {
	if a.customers == nil {
		a.customers = map[string]*customer{}
		a.queued = map[RequestID]*waiter{}
	}
	c := a.customers[name]
	if c == nil {
		c = &customer{}
		a.customers[name] = c
	}
	return c
}

// Submit takes a new request. It is admitted at once, queued (neither result set), or refused.
func (a *Admitter) Submit(now time.Time, r Request) (admitted bool, refusal *Refusal) {
	c := a.customer(r.Customer)
	c.changed = true
	switch {
	case c.contract == nil:
		return false, &Refusal{ID: r.ID, Reason: NoContract}
	case !r.Deadline.After(now):
		return false, &Refusal{ID: r.ID, Reason: TooLate, RetryAfter: minRetryAfter}
	case c.queue.Len() == 0 && c.running < c.share:
		c.running++
		return true, nil
	case c.queue.Len() >= c.queueCapacity():
		return false, &Refusal{ID: r.ID, Reason: QueueFull, RetryAfter: c.retryAfter()}
	case c.cannotMeetDeadline(now, r):
		return false, &Refusal{ID: r.ID, Reason: TooLate, RetryAfter: c.retryAfter()}
	}
	a.arrivals++
	w := &waiter{request: r, arrival: a.arrivals}
	heap.Push(&c.queue, w)
	a.queued[r.ID] = w
	return false, nil
}

// Complete records that an admitted request has ended, and how long it ran.
func (a *Admitter) Complete(name string, took time.Duration) {
	c := a.customer(name)
	c.running--
	c.changed = true
	if c.samples == 0 {
		c.meanDuration = took
	}
	c.samples++
	c.meanDuration += time.Duration(sampleWeight * float64(took-c.meanDuration))
}

// Cancel removes a queued request. It reports false if it was not queued.
func (a *Admitter) Cancel(id RequestID) bool {
	w := a.queued[id]
	if w == nil {
		return false
	}
	c := a.customers[w.request.Customer]
	heap.Remove(&c.queue, w.position)
	delete(a.queued, id)
	c.changed = true
	return true
}

// Next returns the queued requests that are admitted now, and those that are refused because
// their deadline has passed.
func (a *Admitter) Next(now time.Time) (admitted []RequestID, refused []Refusal) {
	for _, c := range a.customers {
		for c.queue.Len() > 0 && (c.running < c.share || !c.queue[0].request.Deadline.After(now)) {
			w := heap.Pop(&c.queue).(*waiter)
			delete(a.queued, w.request.ID)
			c.changed = true
			if !w.request.Deadline.After(now) {
				refused = append(refused, Refusal{ID: w.request.ID, Reason: TooLate, RetryAfter: c.retryAfter()})
				continue
			}
			c.running++
			admitted = append(admitted, w.request.ID)
		}
	}
	return admitted, refused
}

// RefuseExpired removes and refuses the queued requests whose deadline has passed, at any
// position in their queues.
func (a *Admitter) RefuseExpired(now time.Time) []Refusal {
	var refused []Refusal
	for id, w := range a.queued {
		if w.request.Deadline.After(now) {
			continue
		}
		c := a.customers[w.request.Customer]
		a.Cancel(id)
		refused = append(refused, Refusal{ID: id, Reason: TooLate, RetryAfter: c.retryAfter()})
	}
	return refused
}

// RefuseAll empties the queues when the gateway may not serve any request.
func (a *Admitter) RefuseAll() []RequestID {
	var refused []RequestID
	for id := range a.queued {
		refused = append(refused, id)
	}
	for _, id := range refused {
		a.Cancel(id)
	}
	return refused
}

// Demand is the share that a customer holds at this gateway and the share that it needs.
type Demand struct {
	Customer string
	Held     uint32
	Wanted   uint32
}

// Demands returns the demands that changed since the last call, and those that are not met. An
// unused share may be returned by setting it lower.
func (a *Admitter) Demands(all bool) []Demand {
	var demands []Demand
	for name, c := range a.customers {
		wanted := c.running + uint32(c.queue.Len())
		if all && c.share+c.running > 0 || c.changed || wanted > c.share {
			demands = append(demands, Demand{Customer: name, Held: max(c.share, c.running), Wanted: wanted})
			c.changed = false
		}
	}
	return demands
}

// HasUnmetDemand reports whether requests wait for a larger share.
func (a *Admitter) HasUnmetDemand() bool {
	for _, w := range a.queued {
		c := a.customers[w.request.Customer]
		if c.running+uint32(c.queue.Len()) > c.share {
			return true
		}
	}
	return false
}

// Running returns the number of admitted requests of a customer.
func (a *Admitter) Running(name string) uint32 { return a.customer(name).running }

// queueCapacity is how many requests may wait: the contract's queue, and as many as a larger
// share of the limit would let run.
func (c *customer) queueCapacity() int {
	growth := max(0, int(c.contract.GetRequestsAtOnce())-int(c.share))
	return int(c.contract.GetQueueLength()) + growth
}

// cannotMeetDeadline reports whether the requests ahead will take longer than the deadline.
func (c *customer) cannotMeetDeadline(now time.Time, r Request) bool {
	return c.samples >= minSamples && c.expectedWait() > r.Deadline.Sub(now)
}

func (c *customer) expectedWait() time.Duration {
	share := max(1, c.share)
	return time.Duration(c.queue.Len()+1) * c.meanDuration / time.Duration(share)
}

func (c *customer) retryAfter() time.Duration {
	return min(max(c.expectedWait(), minRetryAfter), maxRetryAfter)
}

type waiter struct {
	request  Request
	arrival  uint64
	position int
}

// queue is a heap by priority, then by arrival.
type queue []*waiter

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].request.Priority != q[j].request.Priority {
		return q[i].request.Priority > q[j].request.Priority
	}
	return q[i].arrival < q[j].arrival
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].position, q[j].position = i, j
}

func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.position = len(*q)
	*q = append(*q, w)
}

func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
