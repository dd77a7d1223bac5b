package dispatcher

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/translator"
)

// The answer to the cancel of another request, or one that does not say whose it is, counted for a request that ran.
func TestCancelOfAnotherRequestDoesNotProveNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		cancelled, sentTo string
		want              Ran
	}{
		"this request":            {`{"Ran":"no","Incarnation":"first","RequestId":"r","RemembersAll":true}`, "first", RanNo},
		"another request":         {`{"Ran":"no","Incarnation":"first","RequestId":"r-0","RemembersAll":true}`, "first", RanUnknown},
		"no request named":        {`{"Ran":"no","Incarnation":"first","RemembersAll":true}`, "first", RanUnknown},
		"no incarnation anywhere": {`{"Ran":"no","RequestId":"r","RemembersAll":true}`, "", RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			x := &Exchange{RequestID: "r", Incarnation: test.sentTo}
			qt.New(t).Check(x.parseCancellation([]byte(test.cancelled), 0), qt.Equals, test.want)
		})
	}
}

// An engine that had forgotten a request said that it never ran, and the claim that another gateway had taken up was
// released, so that it ran again. What an engine does not know proves something only as far back as it remembers.
func TestForgottenRequestIsNotProvedNotRun(t *testing.T) {
	const stated = `{"Ran":"no","Incarnation":"first","RequestId":"r"`
	for name, test := range map[string]struct {
		cancelled string
		age       time.Duration
		want      Ran
	}{
		"it remembers all":               {stated + `,"RemembersAll":true}`, 20 * time.Hour, RanNo},
		"it remembers for longer":        {stated + `,"KnownForMs":60000}`, 53 * time.Second, RanNo},
		"its clock may be slower":        {stated + `,"KnownForMs":60000}`, 56 * time.Second, RanUnknown},
		"it has forgotten younger ones":  {stated + `,"KnownForMs":60000}`, time.Hour, RanUnknown},
		"it does not say what it forgot": {stated + `}`, 0, RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			x := &Exchange{RequestID: "r", Incarnation: "first"}
			qt.New(t).Check(x.parseCancellation([]byte(test.cancelled), test.age), qt.Equals, test.want)
		})
	}
}

// A request that the network held until the engine had restarted ran there, after the earlier incarnation had stated that
// it never would. An engine can refuse it only if the request names the incarnation.
func TestRequestNamesItsIncarnation(t *testing.T) {
	c := qt.New(t)
	named := ""
	out := runAgainst(func(w http.ResponseWriter, r *http.Request) {
		named = r.Header.Get(translator.IncarnationHeader)
		refuses(http.StatusMisdirectedRequest, "r")(w, r)
	})
	c.Check(out.Ran, qt.Equals, RanNo)
	c.Check(named, qt.Equals, "first")
}
