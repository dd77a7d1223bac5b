package isolator

import (
	"crypto/sha256"
	"encoding/hex"
)

// fingerprintBytes is the length of a truncated digest: callers can't find another request with
// the same 128 bits, and reports stay short.
const fingerprintBytes = 16

// Request is the content of a request and its caller, as received.
type Request struct {
	Method string
	Host   string
	Target string
	Body   []byte
	// Caller is an address without its port, or a customer's name.
	Caller string
}

// Fingerprints identify a request across retries and gateways, unlike the id in its header. The
// first covers the content alone, since a request that crashes a backend server may do so for
// any caller. The second covers the content and the caller: a request that succeeds for many
// callers, such as a read without a body, may crash servers for one of them.
func (a *Request) Fingerprints() []string {
	sum := sha256.New()
	for _, part := range []string{a.Method, a.Host, a.Target} {
		_, _ = sum.Write([]byte(part))
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(a.Body)
	content := sum.Sum(nil)
	ofCaller := sha256.Sum256(append(content, a.Caller...))
	return []string{truncate(content), truncate(ofCaller[:])}
}

func truncate(digest []byte) string { return hex.EncodeToString(digest[:fingerprintBytes]) }
