package app

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/launcher"
)

const (
	gatewayLine    = `{"time":"2026-07-26T17:34:11.500Z","msg":"request","Instance":"edge-1","RequestID":"r1","Took":500,"Adapter":"m/a7","Status":503}`
	controllerLine = `{"time":"2026-07-26T17:34:11.200Z","msg":"order","Instance":"core-1","Kind":"Load","Adapter":"m/a7"}`
)

func TestExplainFromLogs(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "core-1.log")
	c.Assert(os.WriteFile(file, []byte(controllerLine+"\n"), 0o600), qt.IsNil)
	for name, test := range map[string]struct {
		args []string
		code int
		out  string
		err  string
	}{
		"a file and standard input": {
			[]string{"explain", "r1", "--log", file, "--log", "-"}, launcher.ExitOK,
			"17:34:11.200 core-1: order Adapter=m/a7 Kind=Load\n17:34:11.500 edge-1: request Adapter=m/a7 RequestID=r1 Status=503 Took=500\n", "",
		},
		"a request that no line names": {[]string{"explain", "r2", "-l", "-"}, launcher.ExitFailed, "", "no line of the logs names request r2"},
		"a file that is not there":     {[]string{"explain", "r1", "-l", file + "x"}, launcher.ExitFailed, "", "no such file"},
		"neither logs nor controllers": {[]string{"explain", "r1"}, launcher.ExitUsage, "", "--controllers and --key-file are required"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var out, err strings.Builder
			code := Main(test.args, strings.NewReader(gatewayLine+"\n"), &out, &err)
			c.Check(code, qt.Equals, test.code)
			c.Check(out.String(), qt.Equals, test.out)
			c.Check(err.String(), qt.Contains, test.err)
		})
	}
}
