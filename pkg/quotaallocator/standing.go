package quotaallocator

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

// Statuses returns how the limits stand, by the names of their customers; with shares also
// what each gateway has.
func (l *Allocator) Statuses(now time.Time, shares bool) []*wire.LimitStanding {
	list := make([]*wire.LimitStanding, 0, len(l.customers))
	for name, c := range l.customers {
		standing := &wire.LimitStanding{
			Customer: name, Limit: c.limit, Room: l.room(now, c), Reserved: c.reserved, Rate: c.rate, Refused: c.refused,
		}
		if shares {
			standing.Shares = c.shares(now)
		}
		list = append(list, standing)
	}
	slices.SortFunc(list, func(a, b *wire.LimitStanding) int { return cmp.Compare(a.GetCustomer(), b.GetCustomer()) })
	return list
}

func (c *customer) shares(now time.Time) []*wire.GatewayShare {
	list := make([]*wire.GatewayShare, 0, len(c.leases))
	for gateway, a := range c.leases {
		list = append(list, &wire.GatewayShare{
			Gateway: gateway, Unspent: uint64(a.unspent()), Allowance: a.allowance, AgeMs: uint32(now.Sub(a.heard).Milliseconds()),
		})
	}
	slices.SortFunc(list, func(a, b *wire.GatewayShare) int { return cmp.Compare(a.GetGateway(), b.GetGateway()) })
	return list
}
