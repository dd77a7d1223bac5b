package synchronizer

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Gateways polled no controller any more once those that had listed the others first were replaced.
func TestGatewaysFollowReplacedControllers(t *testing.T) {
	for name, gateways := range map[string]int{"all poll controllers": 5, "some poll relays": 22} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, gateways, func(_ *qt.C, f *fleet) {
				ctx, cancel := context.WithCancel(context.Background())
				f.onClose = cancel
				for i := range 5 {
					f.replaceController(ctx, fmt.Sprintf("10.1.1.%d:7000", i+1))
					<-time.After(9 * time.Second)
				}
				<-time.After(2 * controllerExpiry)
				f.put(randomTable(2, 60))
			})
		})
	}
}
