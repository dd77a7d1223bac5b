package quotaallocator

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

// Statuses returns the status of the limits, sorted by customer; with shares also that of each
// gateway's lease.
func (q *Allocator) Statuses(now time.Time, shares bool) []*wire.LimitStanding {
	list := make([]*wire.LimitStanding, 0, len(q.customers))
	for name, c := range q.customers {
		status := &wire.LimitStanding{
			Customer: name, Limit: c.limit, Room: q.room(now, c), Reserved: c.reserved, Rate: c.rate, Refused: c.refused,
		}
		if shares {
			status.Shares = c.shares(now)
		}
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b *wire.LimitStanding) int { return cmp.Compare(a.GetCustomer(), b.GetCustomer()) })
	return list
}

func (c *customer) shares(now time.Time) []*wire.GatewayShare {
	list := make([]*wire.GatewayShare, 0, len(c.leases))
	for gateway, a := range c.leases {
		list = append(list, &wire.GatewayShare{
			Gateway: gateway, Unspent: uint64(a.unspent()), Allowance: a.allowance, AgeMs: uint32(now.Sub(a.lastContactAt).Milliseconds()),
		})
	}
	slices.SortFunc(list, func(a, b *wire.GatewayShare) int { return cmp.Compare(a.GetGateway(), b.GetGateway()) })
	return list
}
