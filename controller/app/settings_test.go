package app

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/configurer"
)

const settingsPage = "../../docs/SETTINGS.md"

// TestSettingsPage checks that the page matches the settings. Run it with -update to rewrite
// the program's part.
func TestSettingsPage(t *testing.T) {
	c := qt.New(t)
	want := "## Controller\n" + configurer.Describe(Defaults())
	page, err := os.ReadFile(settingsPage)
	c.Assert(err, qt.IsNil)
	if flag.Lookup("update").Value.String() == "true" {
		c.Assert(os.WriteFile(settingsPage, []byte(replacePart(string(page), want)), 0o600), qt.IsNil)
		return
	}
	c.Assert(strings.Contains(string(page), want), qt.IsTrue, qt.Commentf("run: go test ./app -update"))
}

var _ = flag.Bool("update", false, "write docs/SETTINGS.md anew")

// replacePart replaces a program's part of the page.
func replacePart(page, part string) string {
	heading, _, _ := strings.Cut(part, "\n")
	before, rest, found := strings.Cut(page, heading+"\n")
	if !found {
		return page + "\n" + part
	}
	_, after, more := strings.Cut(rest, "\n## ")
	if more {
		return before + part + "\n## " + after
	}
	return before + part
}

func TestAllFaultsAreReported(t *testing.T) {
	cases := map[string]struct {
		text   string
		faults []string
	}{
		"an unknown key":     {text: "[Timing]\nHartbeat = 1s\n", faults: []string{"[Timing] Hartbeat: unknown key"}},
		"an unknown section": {text: "[Times]\n", faults: []string{"[Times]: unknown section"}},
		"a bad duration":     {text: "[Timing]\nHeartbeat = fast\n", faults: []string{`[Timing] Heartbeat: "fast" is not allowed`}},
		"a bad choice":       {text: "[Log]\nLevel = Loud\n", faults: []string{`[Log] Level: "Loud" is not allowed; it may be Debug,Info,Warn,Error`}},
		"a clash":            {text: "[Timing]\nElectionTimeout = 200ms\n", faults: []string{"at least three times Heartbeat"}},
		"several at once": {
			text:   "[Timing]\nHeartbeat = fast\nX = 1\n[Engines]\nLoadsAtOnce = -1\n",
			faults: []string{"[Timing] Heartbeat", "[Timing] X", "[Engines] LoadsAtOnce", "[Instance] Name: a value is required"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			file := filepath.Join(c.TempDir(), "controller.ini")
			c.Assert(os.WriteFile(file, []byte(tc.text), 0o600), qt.IsNil)
			_, faults := Read(file)
			text := ""
			for _, f := range faults {
				text += f.String() + "\n"
			}
			for _, want := range tc.faults {
				c.Assert(text, qt.Contains, want)
			}
		})
	}
}
