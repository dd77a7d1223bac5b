package app

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/launcher"
)

// A file is checked with the settings of its mode. The output has a line for each fault, or one
// if there are none.
func TestCheckSettings(t *testing.T) {
	const valid = "[Instance]\nName = n\nZone = z\nIP = 10.0.0.1\nPort = 7400\nControl = 10.0.0.1:80\n" +
		"[Data]\nFolder = /tmp/x\n[Members]\nSeeds = 10.0.0.1:80\n"
	for name, test := range map[string]struct {
		text  string
		flags []string
		code  int
		lines int
	}{
		"routed":                    {valid, []string{"--routed"}, launcher.ExitOK, 1},
		"routed, with two faults":   {valid + "[Unknown]\nA = 1\n[Log]\nLevel = Loud\n", []string{"--routed"}, launcher.ExitUsage, 2},
		"of the other mode instead": {valid, nil, launcher.ExitUsage, 2},
		"of no mode":                {"", []string{"--routed"}, launcher.ExitUsage, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			file := filepath.Join(c.TempDir(), "settings.ini")
			c.Assert(os.WriteFile(file, []byte(test.text), 0o600), qt.IsNil)
			var stdout, stderr bytes.Buffer
			code := Main(append([]string{"check-settings", file}, test.flags...), &stdout, &stderr)
			c.Check(code, qt.Equals, test.code, qt.Commentf("%s%s", &stdout, &stderr))
			lines := strings.Count(stdout.String()+stderr.String(), "\n")
			c.Check(lines >= test.lines, qt.IsTrue, qt.Commentf("%s%s", &stdout, &stderr))
			c.Check(stdout.Len() > 0, qt.Equals, code == launcher.ExitOK)
		})
	}
}
