package logtracer

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// logLines are shortened lines of several processes, one of them with a collector's timestamp
// in front and one that is not JSON.
const logLines = `{"time":"2026-07-26T17:34:00Z","level":"INFO","msg":"this instance leads","Program":"controller","Instance":"core-1","Zone":"z","Term":2}
{"time":"2026-07-26T17:34:10.900Z","msg":"order","Instance":"core-1","Kind":"Load","Backend":"i-2","Adapter":"m/a7","Outcome":0}
  36.0395 edge-1 {"time":"2026-07-26T17:34:11Z","msg":"this instance leads","Instance":"core-2","Term":3}
{"time":"2026-07-26T17:34:11.100Z","msg":"order","Instance":"core-2","Kind":"Load","Backend":"i-2","Adapter":"m/a8","Outcome":2}
panic: something else
{"time":"2026-07-26T17:34:11.500Z","msg":"request","Instance":"edge-1","RequestID":"r1","Took":803,"Backend":"i-1","Adapter":"m/a7","Outcome":"the adapter was not loaded in time","Status":503}
{"time":"2026-07-26T17:34:11.200Z","msg":"a controller does not answer","Instance":"edge-1","Controller":"core-1"}
{"time":"2026-07-26T17:34:11.200Z","msg":"a controller does not answer","Instance":"edge-2","Controller":"core-1"}
{"time":"2026-07-26T17:34:11.300Z","msg":"a backend server has changed","Instance":"core-2","Backend":"i-1","Silent":true}
{"time":"2026-07-26T17:34:11.400Z","msg":"request","Instance":"edge-1","RequestID":"r2","Took":1,"Status":502}
{"time":"2026-07-26T17:34:12Z","msg":"the gateway stops","Instance":"edge-1"}
{"time":"2026-07-26T17:35:00.100Z","msg":"backend server limits its request rate","Instance":"edge-3","Backend":"i-3","Limit":5,"AnswerTo":"r4"}
{"time":"2026-07-26T17:35:00.300Z","msg":"request","Instance":"edge-1","RequestID":"r5","Took":20,"Denials":2,"DeniedBackend":"i-3","Status":503}
{"time":"2026-07-26T17:36:00.100Z","msg":"backend server accepts no requests for a time","Instance":"edge-1","Backend":"i-4","For":5000,"AnswerTo":"r6"}
{"time":"2026-07-26T17:36:00.200Z","msg":"backend server accepts no requests for a time","Instance":"edge-2","Backend":"i-4","For":5000,"AnswerTo":"r7"}
{"time":"2026-07-26T17:36:04.300Z","msg":"request","Instance":"edge-1","RequestID":"r8","Took":1,"PausedBackend":"i-4","Status":503}
`

func TestTrace(t *testing.T) {
	for name, test := range map[string]struct {
		request string
		want    []string
	}{
		"lines of other processes": {"r1", []string{
			"17:34:10.900 core-1: order Adapter=m/a7 Backend=i-2 Kind=Load Outcome=0",
			"17:34:11.000 core-2: this instance leads Term=3",
			"17:34:11.200 edge-1: a controller does not answer Controller=core-1",
			"17:34:11.300 core-2: a backend server has changed Backend=i-1 Silent=true",
			"17:34:11.500 edge-1: request Adapter=m/a7 Backend=i-1 Outcome=the adapter was not loaded in time " +
				"RequestID=r1 Status=503 Took=803",
		}},
		"a limit that had no grant": {"r5", []string{
			"17:35:00.100 edge-3: backend server limits its request rate AnswerTo=r4 Backend=i-3 Limit=5",
			"17:35:00.300 edge-1: request Denials=2 DeniedBackend=i-3 RequestID=r5 Status=503 Took=20",
		}},
		"a backoff that began long before, at its gateway": {"r8", []string{
			"17:36:00.100 edge-1: backend server accepts no requests for a time AnswerTo=r6 Backend=i-4 For=5000",
			"17:36:04.300 edge-1: request PausedBackend=i-4 RequestID=r8 Status=503 Took=1",
		}},
		"an unknown request": {"r3", nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			lines, skipped, err := Read(strings.NewReader(logLines))
			c.Assert(err, qt.IsNil)
			c.Check(skipped, qt.Equals, 1)
			var got []string
			for _, l := range Trace(lines, test.request) {
				got = append(got, l.String())
			}
			c.Check(got, qt.DeepEquals, test.want)
		})
	}
}

// Lines that are not log lines are skipped, and a line without an end is an error.
func TestReadSkipsOtherLines(t *testing.T) {
	c := qt.New(t)
	lines, skipped, err := Read(strings.NewReader("{\n{}\n[1]\n{\"time\":\"yesterday\",\"msg\":\"x\"}\n"))
	c.Check(err, qt.IsNil)
	c.Check(lines, qt.HasLen, 0)
	c.Check(skipped, qt.Equals, 4)
	_, _, err = Read(strings.NewReader(strings.Repeat("x", maxLine+1)))
	c.Check(err, qt.ErrorMatches, "logtracer: Read: .*token too long")
}
