package applier

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// A request whose claim was released got the outcome of another request under its key, which is not a repeat of it.
func TestFinishReturnsNoOutcomeOfAnotherRequest(t *testing.T) {
	sm, index := New(), uint64(0)
	apply := func(cmd *wire.Command) Result {
		index++
		cmd.AtNs = int64(index)
		data, _ := proto.Marshal(cmd)
		return sm.Apply(&wire.Entry{Index: index, Term: 1, Data: data})
	}
	session := apply(&wire.Command{Body: &wire.Command_OpenSession{OpenSession: &wire.OpenSession{Nonce: "n"}}}).Session.GetId()
	claim := func(id, print string) {
		apply(&wire.Command{Body: &wire.Command_Claim{Claim: &wire.ClaimCommand{
			Customer: "c", Key: "k", Fingerprint: []byte(print), Session: session, RequestId: id, Attempt: id, KeepNs: 1e12,
		}}})
	}
	claim("first", "a")
	apply(&wire.Command{Body: &wire.Command_Release{Release: &wire.ReleaseCommand{Customer: "c", Key: "k", RequestId: "first"}}})
	claim("second", "b")
	apply(&wire.Command{Body: &wire.Command_Finish{Finish: &wire.FinishCommand{Customer: "c", Key: "k", RequestId: "second", Outcome: &wire.Outcome{Status: 200, Body: []byte("b's answer")}}}})
	got := apply(&wire.Command{Body: &wire.Command_Finish{Finish: &wire.FinishCommand{Customer: "c", Key: "k", RequestId: "first", Outcome: &wire.Outcome{Unknown: true}}}}).Outcome
	qt.New(t).Check(string(got.GetBody()), qt.Equals, "")
}
