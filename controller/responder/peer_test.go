package responder

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// A message of a cluster reaches an instance that is not in it. It is refused, and only
// one that belongs to none takes note of whom it could ask to join.
func TestMessagesOfOtherClusters(t *testing.T) {
	for name, test := range map[string]struct {
		own  string
		want string
	}{
		"a new disk":      {"", "10.0.0.1:1"},
		"another cluster": {"other", ""},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			invited := ""
			p := &Peer{
				Cluster:       func() string { return test.own },
				RecordPeer:    func(*wire.Member) { c.Error("it was heard") },
				RecordContact: func(from *wire.Member) { invited = from.GetAddress() },
			}
			_, err := p.Deliver(context.Background(), &wire.DeliverRequest{Cluster: "ours", From: &wire.Member{Address: "10.0.0.1:1"}})
			c.Check(err, qt.IsNotNil)
			c.Check(invited, qt.Equals, test.want)
		})
	}
}
