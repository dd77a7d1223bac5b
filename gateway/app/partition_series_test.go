package app

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// partitionSeeds is the number of seeds that TestCallersAreServedInSeriesOfPartitions runs, and
// partitionFirst the first of them.
var (
	partitionSeeds = flag.Int("partition.seeds", 2, "number of seeds that the series of partitions run")
	partitionFirst = flag.Uint64("partition.first", 1, "first seed of the series of partitions")
)

// partitionSteps is the number of steps of a series.
const partitionSteps = 4

// Partitions of gateways from all backend servers come in series, and those of several gateways
// overlap. At least one gateway is not partitioned in a step, and one backend server may be silent.
func TestCallersAreServedInSeriesOfPartitions(t *testing.T) {
	for i := range uint64(*partitionSeeds) {
		seed := *partitionFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, seed))
			y := startPartitionSite(qt.New(t), 16*random.IntN(2))
			for range partitionSteps {
				y.runPartitionStep(random)
			}
			for _, links := range y.links {
				links.heal()
			}
			y.callAllFor(contactTime, noGateways)
			_, all := y.measureFor(time.Second, noGateways)
			y.c.Check(all.share() > 0.9, qt.IsTrue, qt.Commentf("%d of %d served", all.served.Load(), all.sent.Load()))
			y.checkRunsOnce()
		})
	}
}

// runPartitionStep partitions gateways anew, each in a mode of its own, and checks how callers are
// served once the time that this may take is over.
func (y *partitionSite) runPartitionStep(random *rand.Rand) {
	modes := []partitionMode{"", silenced, deafened, severed, refusing}
	spared := random.IntN(len(y.gateways))
	chosen := make([]partitionMode, len(y.gateways))
	for i, links := range y.links {
		if mode := modes[random.IntN(len(modes))]; i != spared {
			chosen[i] = mode
		}
		if chosen[i] == "" {
			links.heal()
		} else {
			links.partition(chosen[i])
		}
	}
	if random.IntN(2) == 0 {
		y.backends[random.IntN(len(y.backends))].silentUntil.Store(time.Now().Add(time.Second).UnixNano())
	}
	y.c.Logf("partitions: %q", chosen)
	y.callAllFor(contactTime, noGateways)
	cutOff, others := y.measureFor(2*time.Second, func(gateway int) bool { return chosen[gateway] != "" })
	if cutOff.sent.Load() > 0 {
		y.checkServedAlike(cutOff, others)
	}
}
