package responder

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// A message of a cluster that an instance is not a member of is refused. Only an instance
// without a cluster records the sender as a contact through which it can join.
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
				RecordPeer:    func(*wire.Member) { c.Error("the sender was recorded") },
				RecordContact: func(from *wire.Member) { invited = from.GetAddress() },
			}
			_, err := p.Deliver(context.Background(), &wire.DeliverRequest{Cluster: "ours", From: &wire.Member{Address: "10.0.0.1:1"}})
			c.Check(err, qt.IsNotNil)
			c.Check(invited, qt.Equals, test.want)
		})
	}
}
