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

// orderCarrier carries the placer's orders to engines, each in a goroutine of its own.
type orderCarrier struct {
	log    *slog.Logger
	holder string
	leads  func() bool
	orders *platform.OrderClient
}

func (c *orderCarrier) carry(order placer.Order, term uint64, done func(placer.Outcome, *placer.EngineState)) {
	go func() {
		if !c.leads() {
			done(placer.Refused, nil)
			return
		}
		if order.Kind == placer.Report {
			done(c.report(order))
			return
		}
		done(c.give(order, term), nil)
	}()
}

func (c *orderCarrier) report(order placer.Order) (placer.Outcome, *placer.EngineState) {
	report, err := c.orders.FetchReport(context.Background(), order.Address, order.Name)
	if errors.Is(err, platform.ErrWrongIncarnation) {
		return placer.WrongIncarnation, nil
	}
	if err != nil {
		c.log.Info("an engine did not report", "Backend", order.Backend, "Error", err.Error())
		return placer.Unknown, nil
	}
	if report.Skipped > 0 {
		c.log.Warn("parts of an engine's report can't be read", "Backend", order.Backend, "Entries", report.Skipped)
	}
	if report.BornMs > 0 && order.BornMs > 0 && report.BornMs != order.BornMs {
		// What the new start holds is asked for once it has announced itself.
		c.log.Info("an engine has started again", "Backend", order.Backend, "BornMs", report.BornMs)
		return placer.WrongIncarnation, nil
	}
	return placer.Completed, &placer.EngineState{
		Accepted: report.Accepted, Models: report.Models, Adapters: report.Adapters, Loading: report.Loading,
	}
}

func (c *orderCarrier) give(order placer.Order, term uint64) placer.Outcome {
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

// relays pass announcements on to the other controllers, each through a bounded ring.
type relays struct {
	ctx    context.Context
	log    *slog.Logger
	client *connector.Client
	self   string

	mu    sync.Mutex
	rings map[string]chan []*wire.Announcement
}

// send does not block: a controller that does not answer misses announcements, which
// come again soon.
func (r *relays) send(addresses []string, list []*wire.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range addresses {
		if address == r.self {
			continue
		}
		ring := r.rings[address]
		if ring == nil {
			ring = make(chan []*wire.Announcement, relayRing)
			r.rings[address] = ring
			go r.run(address, ring)
		}
		select {
		case ring <- list:
		default:
			r.log.Debug("an announcement was not passed on", "Controller", address)
		}
	}
}

func (r *relays) run(address string, ring <-chan []*wire.Announcement) {
	client := wire.NewMeshProtobufClient("http://"+address, r.client)
	for {
		var list []*wire.Announcement
		select {
		case <-r.ctx.Done():
			return
		case list = <-ring:
		}
		for more := true; more; {
			select {
			case next := <-ring:
				list = append(list, next...)
			default:
				more = false
			}
		}
		if _, err := client.Relay(r.ctx, &wire.RelayRequest{Announcements: list}); err != nil {
			r.log.Debug("announcements were not passed on", "Controller", address, "Error", err.Error())
		}
	}
}
