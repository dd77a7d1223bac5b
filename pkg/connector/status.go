package connector

import (
	"net/http"

	"github.com/pkg/errors"
)

// RoundTrip sends a request and returns an answer with a final status. The HTTP library also returns statuses below 100,
// which no answer has, and 101, which answers a request to change protocols.
func RoundTrip(transport http.RoundTripper, req *http.Request) (*http.Response, error) {
	res, err := transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode < http.StatusOK {
		_ = res.Body.Close()
		return nil, errors.Errorf("connector: %q is no final status", res.Status)
	}
	return res, nil
}
