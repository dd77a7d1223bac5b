package connector_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/connector"
)

// A client without a transport crashed its process at the first call.
func TestCallWithoutTransportFails(t *testing.T) {
	c := qt.New(t)
	req := httptest.NewRequest(http.MethodGet, "http://127.0.0.1:1/", nil)
	res, err := (&connector.Client{Timeout: time.Second}).Do(req)
	if res != nil {
		_ = res.Body.Close()
	}
	c.Check(res, qt.IsNil)
	c.Check(err, qt.ErrorMatches, "connector: no transport is set")
}
