package forwarder

import (
	"crypto/sha256"
	"encoding/hex"
	"net"

	"bronzelead.example/gateway/doorkeeper"
)

// fingerprintBytes is how much of a digest is kept: no caller can find another request
// that has the same 128 bits, and reports stay short.
const fingerprintBytes = 16

// fingerprints name what a request asks for, the same each time that it is sent, at any
// gateway. The id in its header differs each time. They are of the bytes as they came.
type fingerprints struct {
	// content is of method, host, target and body alone: what ends a backend server does so
	// whoever asks for it.
	content string
	// ofCaller is of the content and the caller's address: what many ask for and get, as a
	// read without a body, may be fatal from one of them.
	ofCaller string
}

func fingerprintsOf(req *doorkeeper.Request) fingerprints {
	sum := sha256.New()
	for _, part := range []string{req.Head.Method, req.Head.Header.Get("Host"), req.Head.Target} {
		_, _ = sum.Write([]byte(part))
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(req.Body)
	content := sum.Sum(nil)
	ofCaller := sha256.Sum256(append(content, callerOf(req)...))
	return fingerprints{content: short(content), ofCaller: short(ofCaller[:])}
}

func short(digest []byte) string { return hex.EncodeToString(digest[:fingerprintBytes]) }

func (p *fingerprints) all() []string { return []string{p.content, p.ofCaller} }

// callerOf returns a caller's address without the port, which differs for each connection.
func callerOf(req *doorkeeper.Request) string {
	caller, _, err := net.SplitHostPort(req.Caller)
	if err != nil {
		return req.Caller
	}
	return caller
}
