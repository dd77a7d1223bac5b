package app

import (
	"flag"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/configurer"
)

const settingsPage = "../../docs/SETTINGS.md"

var _ = flag.Bool("update", false, "write docs/SETTINGS.md anew")

// TestSettingsPage checks that the page matches the settings. Run it with -update to rewrite
// the program's part.
func TestSettingsPage(t *testing.T) {
	c := qt.New(t)
	want := "## Gateway\n" + configurer.Describe(Defaults())
	page, err := os.ReadFile(settingsPage)
	c.Assert(err, qt.IsNil)
	if flag.Lookup("update").Value.String() == "true" {
		before, _, _ := strings.Cut(string(page), "## Gateway\n")
		c.Assert(os.WriteFile(settingsPage, []byte(before+want), 0o600), qt.IsNil)
		return
	}
	c.Assert(strings.Contains(string(page), want), qt.IsTrue, qt.Commentf("run: go test ./app -update"))
}
