package synchronizer

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	seriesSeeds = flag.Int("series.seeds", 3, "number of seeds that the drawn series run")
	seriesFirst = flag.Uint64("series.first", 1, "the first of them")
)

const (
	seriesSteps    = 10
	seriesGateways = 10
	// settleTime is how long all is well before each table is sent.
	settleTime = 5 * time.Second
)

// series draws disruptions of a fleet.
type series struct {
	*fleet
	random   *rand.Rand
	ctx      context.Context
	replaced int
	version  uint64
}

// between draws a time from low to high.
func (s *series) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// outage cuts hosts off for up to a time that is longer than any that gateways keep what they know for.
func (s *series) outage(hosts []*host) {
	freezeAll(hosts, true)
	<-time.After(s.between(0, controllerExpiry+15*time.Second))
	freezeAll(hosts, false)
}

func (s *series) replace() {
	s.replaced++
	s.replaceController(s.ctx, fmt.Sprintf("10.1.%d.1:7000", s.replaced))
	<-time.After(s.between(0, 15*time.Second))
}

func (s *series) controllerHosts() (hosts []*host) {
	for _, c := range s.controllers {
		hosts = append(hosts, c.host)
	}
	return hosts
}

func (s *series) someGateways() []*host {
	hosts := gatewayHosts(s.gateways)
	s.random.Shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
	return hosts[:1+s.random.IntN(len(hosts))]
}

// step plays one disruption, or two that overlap.
func (s *series) step() {
	steps := []func(){
		s.replace,
		s.replace,
		func() { s.outage(s.controllerHosts()) },
		func() { s.outage(s.someGateways()) },
		func() { s.outage([]*host{s.relay(0).host, s.relay(1).host}) },
		func() {
			cutOff := s.someGateways()
			freezeAll(cutOff, true)
			for range 1 + s.random.IntN(4) {
				s.replace()
			}
			freezeAll(cutOff, false)
		},
	}
	steps[s.random.IntN(len(steps))]()
}

// Series of replaced controllers, outages and lost relays left gateways without anyone to get updates from, for good.
func TestGatewaysGetTablesAfterDrawnDisruptions(t *testing.T) {
	for i := range *seriesSeeds {
		seed := *seriesFirst + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runFleet(t, seriesGateways, func(_ *qt.C, f *fleet) {
				ctx, cancel := context.WithCancel(context.Background())
				f.onClose = cancel
				s := &series{fleet: f, random: rand.New(rand.NewPCG(seed, 2)), ctx: ctx, version: 1}
				for range seriesSteps {
					s.step()
					<-time.After(settleTime)
					s.version++
					f.put(randomTable(s.version, 60))
					<-time.After(tableBound)
				}
			})
		})
	}
}
