package forwarder

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/platform"
)

// Any other combination than an unsigned failure with the marker, or 421, and the request's id counted as a proof that it did not
// run.
func TestEvidenceOfAnswers(t *testing.T) {
	for _, status := range []int{200, 302, 400, 404, 408, 421, 429, 500, 503} {
		for _, marked := range []bool{false, true} {
			for _, signed := range []bool{false, true} {
				for _, id := range []string{"r", "", "other"} {
					got := evidenceOf("r", status, platform.Response{RequestID: id, NotRun: marked || status == http.StatusMisdirectedRequest, Signed: signed})
					notRun := got == evidenceRejected
					may := id == "r" && !signed && status >= 400 && (marked || status == http.StatusMisdirectedRequest)
					qt.New(t).Check(notRun, qt.Equals, may, qt.Commentf("%d marked %t signed %t id %q: %s", status, marked, signed, id, got))
				}
			}
		}
	}
}
