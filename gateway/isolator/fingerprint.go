package isolator

import (
	"crypto/sha256"
	"encoding/hex"
)

// fingerprintBytes is how much of a digest is kept: no caller can find another request
// that has the same 128 bits, and reports stay short.
const fingerprintBytes = 16

// Request is what a request asks for and who asks, in the bytes that came.
type Request struct {
	Method string
	Host   string
	Target string
	Body   []byte
	// Caller is an address without its port, or a customer's name.
	Caller string
}

// Fingerprints name a request, the same each time that it is sent, at any gateway: an id in
// its header differs each time. The first is of its content alone, since what ends a backend
// server does so whoever asks for it. The second is of the content and the caller: what many
// ask for and get, as a read without a body, may be fatal from one of them.
func (a *Request) Fingerprints() []string {
	sum := sha256.New()
	for _, part := range []string{a.Method, a.Host, a.Target} {
		_, _ = sum.Write([]byte(part))
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(a.Body)
	content := sum.Sum(nil)
	ofCaller := sha256.Sum256(append(content, a.Caller...))
	return []string{short(content), short(ofCaller[:])}
}

func short(digest []byte) string { return hex.EncodeToString(digest[:fingerprintBytes]) }
