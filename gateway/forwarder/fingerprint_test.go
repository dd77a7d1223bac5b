package forwarder

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/gateway/doorkeeper"
	"bronzelead.example/pkg/framer"
)

// What is sent again is known by what it asks for, also from another connection and under
// another id, and whoever sends it; what differs in any part of it is another request.
func TestWhatIsSentAgainHasTheSameFingerprints(t *testing.T) {
	made := func(method, host, target, caller, body, id string) fingerprints {
		header := framer.Header{{Name: "Host", Value: host}, {Name: "Request-Id", Value: id}}
		return fingerprintsOf(&doorkeeper.Request{
			Head: &framer.RequestHead{Method: method, Target: target, Header: header}, Body: []byte(body), Caller: caller,
		})
	}
	first := made("POST", "h", "/a/?q=1", "10.0.0.1:4000", "body", "1")
	for name, test := range map[string]struct {
		again                 fingerprints
		sameContent, sameFrom bool
	}{
		"again, from another port":  {made("POST", "h", "/a/?q=1", "10.0.0.1:4001", "body", "2"), true, true},
		"another caller":            {made("POST", "h", "/a/?q=1", "10.0.0.2:4000", "body", "1"), true, false},
		"another method":            {made("PUT", "h", "/a/?q=1", "10.0.0.1:4000", "body", "1"), false, false},
		"another host":              {made("POST", "i", "/a/?q=1", "10.0.0.1:4000", "body", "1"), false, false},
		"another path":              {made("POST", "h", "/b/?q=1", "10.0.0.1:4000", "body", "1"), false, false},
		"the path, encoded":         {made("POST", "h", "/%61/?q=1", "10.0.0.1:4000", "body", "1"), false, false},
		"another query":             {made("POST", "h", "/a/?q=2", "10.0.0.1:4000", "body", "1"), false, false},
		"another body":              {made("POST", "h", "/a/?q=1", "10.0.0.1:4000", "bodies", "1"), false, false},
		"the same bytes, cut apart": {made("POST", "h", "/a/?q=", "10.0.0.1:4000", "1body", "1"), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(test.again.content == first.content, qt.Equals, test.sameContent)
			c.Check(test.again.ofCaller == first.ofCaller, qt.Equals, test.sameFrom)
		})
	}
}

func benchmarkFingerprints(b *testing.B, size int) {
	req := &doorkeeper.Request{
		Head: &framer.RequestHead{Method: "POST", Target: "/a/b/c", Header: framer.Header{{Name: "Host", Value: "h"}}},
		Body: make([]byte, size), Caller: "10.0.0.1:4000",
	}
	b.SetBytes(int64(size))
	for b.Loop() {
		fingerprintsOf(req)
	}
}

func BenchmarkFingerprints1KB(b *testing.B)   { benchmarkFingerprints(b, 1<<10) }
func BenchmarkFingerprints100KB(b *testing.B) { benchmarkFingerprints(b, 100<<10) }
