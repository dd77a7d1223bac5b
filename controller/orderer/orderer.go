// Package orderer carries orders to engines: one goroutine for each order, of which
// the planner allows few at a time.
package orderer

import (
	"context"
	"log/slog"
	"time"

	"bronzelead.example/pkg/planner"
	"bronzelead.example/pkg/translator"
)

// Orderer carries orders. Set the exported fields before use.
type Orderer struct {
	Log *slog.Logger
	// Orders speaks the engines' protocol.
	Orders *translator.Orders
	// OrderTimeout bounds an order in time.
	OrderTimeout time.Duration
	// Leads is asked directly before an order leaves.
	Leads func() bool
}

// SendOrder starts an order and calls done from another goroutine when it has ended.
func (o *Orderer) SendOrder(order planner.Order, done func(planner.Outcome)) {
	go func() { done(o.carry(order)) }()
}

func (o *Orderer) carry(order planner.Order) planner.Outcome {
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
