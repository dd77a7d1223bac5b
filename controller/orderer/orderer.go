// Package orderer sends orders to engines, each in its own goroutine; the planner allows few at
// a time.
package orderer

import (
	"context"
	"log/slog"
	"time"

	"bronzelead.example/pkg/planner"
	"bronzelead.example/pkg/translator"
)

// Orderer sends orders. Set the exported fields before use.
type Orderer struct {
	Log *slog.Logger
	// Orders implements the engines' protocol.
	Orders *translator.OrderClient
	// OrderTimeout bounds the time of an order.
	OrderTimeout time.Duration
	// Leads is checked directly before an order is sent.
	Leads func() bool
}

// SendOrder sends an order in the background, and calls done from another goroutine with its
// outcome.
func (o *Orderer) SendOrder(order planner.Order, done func(planner.Outcome)) {
	go func() { done(o.sendOrder(order)) }()
}

func (o *Orderer) sendOrder(order planner.Order) planner.Outcome {
	if !o.Leads() {
		return planner.Refused
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.OrderTimeout)
	defer cancel()
	fencing := translator.FencingNumber(order.Term, uint64(order.ID))
	send := o.Orders.Load
	if order.Kind == planner.Unload {
		send = o.Orders.Unload
	}
	if err := send(ctx, order.Address, order.Adapter, fencing); err != nil {
		o.Log.Warn("an order failed", "Backend", order.Backend, "Adapter", order.Adapter, "Error", err.Error())
		if translator.IsKind(err, translator.KindRefused) {
			return planner.Refused
		}
		return planner.Unanswered
	}
	return planner.Completed
}
