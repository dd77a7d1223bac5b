package app

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bronzelead.example/pkg/launcher"
	"bronzelead.example/pkg/wire"
)

type limitsCommand struct {
	Customer string `arg:"" optional:"" help:"Shows what each gateway has of this customer's limit."`
	Backends bool   `help:"Shows the request limits that backend servers announce."`
	Backoffs bool   `help:"Shows the backend servers that accept no requests from some gateways, or that some reach through other gateways only."`
}

// Run shows the status of customers' limits at the leader, or the limits of backend servers.
func (c *limitsCommand) Run(s *environment) error {
	res := &wire.ListLimitsResponse{}
	err := s.controllers.Try(s.ctx, s.pause, func(address string) (err error) {
		res, err = wire.NewLimitsProtobufClient("http://"+address, s.client).ListLimits(s.ctx, &wire.ListLimitsRequest{})
		return err
	})
	if err != nil {
		return err
	}
	if c.Backends {
		return s.print(res, requestLimitsTable(res.GetRequestLimits()))
	}
	if c.Backoffs {
		return s.print(res, backoffsTable(res.GetConstrained()))
	}
	if c.Customer == "" {
		return s.print(res, limitsTable(res.GetLimits()))
	}
	for _, l := range res.GetLimits() {
		if l.GetCustomer() == c.Customer {
			return s.print(l, sharesTable(l.GetShares()))
		}
	}
	return &exitError{code: launcher.ExitFailed, text: fmt.Sprintf("customer %q has no limit", c.Customer)}
}

func limitsTable(limits []*wire.LimitStanding) string {
	t := newTable("CUSTOMER", "UNIT", "RATE", "BURST", "ASKED", "ROOM", "RESERVED", "UNSPENT", "REFUSED", "GATEWAYS", "OLDEST")
	for _, l := range limits {
		unspent, oldest := uint64(0), uint32(0)
		for _, share := range l.GetShares() {
			unspent += share.GetUnspent()
			oldest = max(oldest, share.GetAgeMs())
		}
		t.add(l.GetCustomer(), unitName(l.GetLimit().GetUnit()), whole(l.GetLimit().GetRatePerSecond()), whole(l.GetLimit().GetBurst()),
			whole(l.GetRate()), whole(l.GetRoom()), whole(l.GetReserved()), fmt.Sprint(unspent), fmt.Sprint(l.GetRefused()),
			fmt.Sprint(len(l.GetShares())), age(oldest))
	}
	return t.String()
}

func requestLimitsTable(limits []*wire.RequestLimit) string {
	slices.SortFunc(limits, func(a, b *wire.RequestLimit) int { return cmp.Compare(a.GetBackend(), b.GetBackend()) })
	t := newTable("BACKEND", "RATE", "STATE", "AGE")
	for _, l := range limits {
		state := "InForce"
		if l.GetLifted() {
			state = "Lifted"
		}
		t.add(l.GetBackend(), fmt.Sprintf("%.2f", l.GetRequestsPerSecond()), state, age(l.GetAgeMs()))
	}
	return t.String()
}

func backoffsTable(list []*wire.Load) string {
	slices.SortFunc(list, func(a, b *wire.Load) int { return cmp.Compare(a.GetBackend(), b.GetBackend()) })
	t := newTable("BACKEND", "BACKOFF", "LEAVING", "DETOURED", "RUNNING")
	for _, l := range list {
		t.add(l.GetBackend(), fmt.Sprint(l.GetBackingOff()), fmt.Sprint(l.GetToldLeaving()), fmt.Sprint(l.GetDetoured()), fmt.Sprint(l.GetRequests()))
	}
	return t.String()
}

func sharesTable(shares []*wire.GatewayShare) string {
	t := newTable("GATEWAY", "UNSPENT", "ALLOWANCE", "AGE")
	for _, share := range shares {
		t.add(share.GetGateway(), fmt.Sprint(share.GetUnspent()), whole(share.GetAllowance()), age(share.GetAgeMs()))
	}
	return t.String()
}

func unitName(unit wire.LimitUnit) string {
	if unit == wire.LimitUnit_LIMIT_UNIT_TOKENS {
		return "Tokens"
	}
	return "Requests"
}

func whole(value float64) string { return fmt.Sprintf("%.0f", value) }

func age(milliseconds uint32) string {
	return (time.Duration(milliseconds) * time.Millisecond).String()
}
