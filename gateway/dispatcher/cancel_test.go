package dispatcher

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// The answer to the cancel of another request, or one that does not say whose it is, counted for a request that ran.
func TestCancelOfAnotherRequestDoesNotProveNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		cancelled, sentTo string
		want              Ran
	}{
		"this request":            {`{"Ran":"no","Incarnation":"first","RequestId":"r"}`, "first", RanNo},
		"another request":         {`{"Ran":"no","Incarnation":"first","RequestId":"r-0"}`, "first", RanUnknown},
		"no request named":        {`{"Ran":"no","Incarnation":"first"}`, "first", RanUnknown},
		"no incarnation anywhere": {`{"Ran":"no","RequestId":"r"}`, "", RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			x := &Exchange{RequestID: "r", Incarnation: test.sentTo}
			qt.New(t).Check(x.parseCancellation([]byte(test.cancelled)), qt.Equals, test.want)
		})
	}
}
