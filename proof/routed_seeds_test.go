package proof

import (
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// nameSeeds waits until an instance has read its settings file, and writes the addresses of the present controllers into
// it. The instance gets no signal.
func (y *routedSystem) nameSeeds(n *instance) {
	eventually(y.c, n.name+" serves", func() bool {
		starts := int32(0)
		for _, line := range y.readLog(n) {
			if line.Message == "the controller serves" || line.Message == "the gateway serves" {
				starts++
			}
		}
		return starts > n.restarts.Load()
	})
	var addresses []string
	for _, controller := range y.controllers[:seeds] {
		addresses = append(addresses, controller.address)
	}
	file := y.path(n.name + ".ini")
	text, err := os.ReadFile(file)
	y.c.Assert(err, qt.IsNil)
	text = regexp.MustCompile(`(?m)^Seeds = .*$`).ReplaceAll(text, []byte("Seeds = "+strings.Join(addresses, ", ")))
	y.c.Assert(os.WriteFile(file, text, 0o600), qt.IsNil)
}

// replaceSeeds replaces the first controllers, one after the other.
func (y *routedSystem) replaceSeeds(count int) {
	for i := range count {
		y.replace(i)
		y.operator.refreshControllers()
		eventually(y.c, "the replacement votes", y.allVote)
	}
}

// An empty controller whose seeds were all out of use never joined, though its settings file named others meanwhile.
func TestRoutedControllerReadsSeedsAgain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 5, 1, 1)
	y.replaceSeeds(seeds - 1)
	y.replace(seeds - 1)
	y.operator.refreshControllers()
	y.nameSeeds(y.controllers[seeds-1])
	eventually(c, "the last replacement votes", y.allVote)
	y.operator.putTable()
	y.waitServing()
	y.history.check(c)
}

// A gateway whose seeds were all out of use as it started reached no controller until it got a signal, though its
// settings file named others meanwhile.
func TestRoutedGatewayReadsSeedsAgain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 5, 1, 1)
	y.gateways[0].kill()
	y.replaceSeeds(seeds - 1)
	y.replace(seeds - 1)
	y.nameSeeds(y.controllers[seeds-1])
	y.operator.refreshControllers()
	eventually(c, "the last replacement votes", y.allVote)
	y.gateways[0].restart()
	y.nameSeeds(y.gateways[0])
	y.waitServing()
	y.history.check(c)
}
