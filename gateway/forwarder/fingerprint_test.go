package forwarder

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/pkg/framer"
)

// What is sent again is known also from another connection and under another id, and whoever
// sends it.
func TestWhatIsSentAgainHasTheSameFingerprints(t *testing.T) {
	made := func(target, caller, id string) []string {
		header := framer.Header{{Name: "Host", Value: "h"}, {Name: "Request-Id", Value: id}}
		j := &job{req: &acceptor.Request{
			Head: &framer.RequestHead{Method: "POST", Target: target, Header: header}, Body: []byte("body"), Caller: caller,
		}}
		return j.prints()
	}
	first := made("/a/", "10.0.0.1:4000", "1")
	for name, test := range map[string]struct {
		again                 []string
		sameContent, sameFrom bool
	}{
		"from another port": {made("/a/", "10.0.0.1:4001", "2"), true, true},
		"another caller":    {made("/a/", "10.0.0.2:4000", "1"), true, false},
		"another path":      {made("/b/", "10.0.0.1:4000", "1"), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(test.again[0] == first[0], qt.Equals, test.sameContent)
			c.Check(test.again[1] == first[1], qt.Equals, test.sameFrom)
		})
	}
}
