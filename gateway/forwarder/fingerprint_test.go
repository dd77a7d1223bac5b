package forwarder

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/gateway/doorkeeper"
	"bronzelead.example/pkg/framer"
)

// What a caller sends again is known by what it asks for, also from another connection and
// under another id; what differs in any part of it is another request.
func TestWhatIsSentAgainHasTheSameFingerprint(t *testing.T) {
	made := func(method, host, target, caller, body, id string) string {
		header := framer.Header{{Name: "Host", Value: host}, {Name: "Request-Id", Value: id}}
		return fingerprint(&doorkeeper.Request{
			Head: &framer.RequestHead{Method: method, Target: target, Header: header}, Body: []byte(body), Caller: caller,
		})
	}
	first := made("POST", "h", "/a/?q=1", "10.0.0.1:4000", "body", "1")
	for name, test := range map[string]struct {
		again string
		same  bool
	}{
		"again, from another port":  {made("POST", "h", "/a/?q=1", "10.0.0.1:4001", "body", "2"), true},
		"another method":            {made("PUT", "h", "/a/?q=1", "10.0.0.1:4000", "body", "1"), false},
		"another host":              {made("POST", "i", "/a/?q=1", "10.0.0.1:4000", "body", "1"), false},
		"another path":              {made("POST", "h", "/b/?q=1", "10.0.0.1:4000", "body", "1"), false},
		"another query":             {made("POST", "h", "/a/?q=2", "10.0.0.1:4000", "body", "1"), false},
		"another caller":            {made("POST", "h", "/a/?q=1", "10.0.0.2:4000", "body", "1"), false},
		"another body":              {made("POST", "h", "/a/?q=1", "10.0.0.1:4000", "bodies", "1"), false},
		"the same bytes, cut apart": {made("POST", "h", "/a/?q=1", "10.0.0.1:4000b", "ody", "1"), false},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(test.again == first, qt.Equals, test.same)
		})
	}
}
