package forwarder

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/pkg/framer"
)

// A retry has the same content fingerprint from another connection, under another ID and from
// any caller.
func TestRetriesHaveTheSameFingerprints(t *testing.T) {
	fingerprints := func(target, caller, id string) []string {
		header := framer.Header{{Name: "Host", Value: "h"}, {Name: "Request-Id", Value: id}}
		j := &job{req: &acceptor.Request{
			Head: &framer.RequestHead{Method: "POST", Target: target, Header: header}, Body: []byte("body"), Caller: caller,
		}}
		return j.requestFingerprints()
	}
	first := fingerprints("/a/", "10.0.0.1:4000", "1")
	for name, test := range map[string]struct {
		again                 []string
		sameContent, sameFrom bool
	}{
		"from another port": {fingerprints("/a/", "10.0.0.1:4001", "2"), true, true},
		"another caller":    {fingerprints("/a/", "10.0.0.2:4000", "1"), true, false},
		"another path":      {fingerprints("/b/", "10.0.0.1:4000", "1"), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(test.again[0] == first[0], qt.Equals, test.sameContent)
			c.Check(test.again[1] == first[1], qt.Equals, test.sameFrom)
		})
	}
}
