package isolator

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strconv"
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
	// Selectors are values of the header that decide what is run, such as a model.
	Selectors []string
	// Caller is an address without its port, or a customer's name.
	Caller string
	// Parts are the fingerprints of the parts of its prompt.
	Parts []string
}

// Fingerprints identify a request across retries and gateways, unlike the id in its header. The
// first covers the content alone, since a request that crashes a backend server may do so for
// any caller. The second covers the content and the caller: a request that succeeds for many
// callers, such as a read without a body, may crash servers for one of them. Those of the parts of
// its prompt follow, which it shares with other requests.
func (a *Request) Fingerprints() []string {
	sum := sha256.New()
	for _, part := range []string{a.Method, a.Host, a.Target, strconv.Itoa(len(a.Selectors))} {
		writeField(sum, part)
	}
	for _, selector := range a.Selectors {
		writeField(sum, selector)
	}
	_, _ = sum.Write(a.Body)
	content := sum.Sum(nil)
	ofCaller := sha256.Sum256(append(content, a.Caller...))
	return append([]string{truncate(content), truncate(ofCaller[:])}, a.Parts...)
}

// writeField adds a field and its end to a digest.
func writeField(sum hash.Hash, field string) {
	_, _ = sum.Write([]byte(field))
	_, _ = sum.Write([]byte{0})
}

func truncate(digest []byte) string { return hex.EncodeToString(digest[:fingerprintBytes]) }
