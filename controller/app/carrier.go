package app

import (
	"context"
	"log/slog"
	"sync"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/placer"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// orderSender sends the placer's orders to engines, each in its own goroutine.
type orderSender struct {
	log    *slog.Logger
	holder string
	leads  func() bool
	orders *platform.OrderClient
}

func (c *orderSender) send(order placer.Order, term uint64, done func(placer.Reply)) {
	go func() {
		if !c.leads() {
			done(placer.Reply{Outcome: placer.Refused})
			return
		}
		if order.Kind == placer.Report {
			done(c.report(order))
			return
		}
		done(c.sendOrder(order, term))
	}()
}

func (c *orderSender) report(order placer.Order) placer.Reply {
	report, err := c.orders.FetchReport(context.Background(), order.Address, order.Name)
	if errors.Is(err, platform.ErrWrongIncarnation) {
		return placer.Reply{Outcome: placer.WrongIncarnation}
	}
	if err != nil {
		c.log.Info("an engine did not report", "Backend", order.Backend, "Error", err.Error())
		if backoff := platform.BackoffOf(err); backoff > 0 {
			return placer.Reply{Outcome: placer.Refused, Backoff: backoff}
		}
		return placer.Reply{Outcome: placer.Unknown}
	}
	if report.Skipped > 0 {
		c.log.Warn("parts of an engine's report can't be read", "Backend", order.Backend, "Entries", report.Skipped)
	}
	if report.BornMs > 0 && order.BornMs > 0 && report.BornMs != order.BornMs {
		// The state of the new incarnation is requested once it has announced itself.
		c.log.Info("an engine has restarted", "Backend", order.Backend, "BornMs", report.BornMs)
		return placer.Reply{Outcome: placer.WrongIncarnation}
	}
	return placer.Reply{Outcome: placer.Completed, State: &placer.EngineState{
		Accepted: report.Accepted, Models: report.Models, Adapters: report.Adapters, Loading: report.Loading,
	}}
}

func (c *orderSender) sendOrder(order placer.Order, term uint64) placer.Reply {
	model, adapter, _ := platform.SplitAdapter(order.Adapter)
	kind := platform.OrderLoad
	if order.Kind == placer.Unload {
		kind = platform.OrderUnload
	}
	outcome, err := c.orders.Send(context.Background(), platform.Order{
		Address: order.Address, Name: order.Name, Kind: kind, Model: model, Adapter: adapter,
		Version: order.Version, After: order.After, Holder: c.holder, Term: term,
	})
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	c.log.Info("order", "Kind", order.Kind.String(), "Backend", order.Backend, "Adapter", order.Adapter,
		"Version", order.Version, "After", order.After, "Term", term, "Outcome", int(outcome), "Reason", reason)
	return placer.Reply{Outcome: placerOutcome(outcome), Backoff: platform.BackoffOf(err)}
}

func placerOutcome(outcome platform.OrderOutcome) placer.Outcome {
	switch outcome {
	case platform.OrderAccepted:
		return placer.Accepted
	case platform.OrderCompleted:
		return placer.Completed
	case platform.OrderConflict:
		return placer.Conflict
	case platform.OrderFenced, platform.OrderRefused:
		return placer.Refused
	case platform.OrderUnsent:
		return placer.Unreachable
	case platform.OrderWrongIncarnation:
		return placer.WrongIncarnation
	case platform.OrderUnknown:
	}
	return placer.Unknown
}

// announcementRelay forwards announcements to the other controllers, with a bounded queue for
// each.
type announcementRelay struct {
	ctx    context.Context
	log    *slog.Logger
	client *connector.Client
	self   string
	// receive takes later announcements that other controllers know.
	receive func(list []*wire.Announcement)

	mu     sync.Mutex
	queues map[string]chan []*wire.Announcement
}

// send does not block: a controller that does not answer misses announcements, which are
// repeated soon.
func (r *announcementRelay) send(addresses []string, list []*wire.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range addresses {
		if address == r.self {
			continue
		}
		queue := r.queues[address]
		if queue == nil {
			queue = make(chan []*wire.Announcement, relayQueue)
			r.queues[address] = queue
			go r.run(address, queue)
		}
		select {
		case queue <- list:
		default:
			r.log.Debug("an announcement was dropped: the queue is full", "Controller", address)
		}
	}
}

func (r *announcementRelay) run(address string, queue <-chan []*wire.Announcement) {
	client := wire.NewMeshProtobufClient("http://"+address, r.client)
	for {
		var list []*wire.Announcement
		select {
		case <-r.ctx.Done():
			return
		case list = <-queue:
		}
		for more := true; more; {
			select {
			case next := <-queue:
				list = append(list, next...)
			default:
				more = false
			}
		}
		res, err := client.Relay(r.ctx, &wire.RelayRequest{Announcements: list})
		if err != nil {
			r.log.Debug("announcements were not relayed", "Controller", address, "Error", err.Error())
			continue
		}
		if later := res.GetLater(); len(later) > 0 {
			r.log.Info("another controller knows later announcements", "Controller", address, "Announcements", len(later))
			r.receive(later)
		}
	}
}
