package app

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/configurer"
)

const routedPage = "../../docs/SETTINGS-ROUTED.md"

// TestRoutedSettingsPage keeps the page in step with the settings. Run it with -update to
// write the program's part anew.
func TestRoutedSettingsPage(t *testing.T) {
	c := qt.New(t)
	const title = "## Controller\n"
	want := title + configurer.Describe(RoutedDefaults())
	page, err := os.ReadFile(routedPage)
	c.Assert(err, qt.IsNil)
	if flag.Lookup("update").Value.String() == "true" {
		before, after, _ := strings.Cut(string(page), title)
		_, rest, more := strings.Cut(after, "\n## ")
		if more {
			rest = "\n## " + rest
		}
		c.Assert(os.WriteFile(routedPage, []byte(before+want+rest), 0o600), qt.IsNil)
		return
	}
	c.Assert(strings.Contains(string(page), want), qt.IsTrue, qt.Commentf("run: go test ./app -update"))
}

// The template that the users' platform fills in gives settings without a fault.
func TestTemplate(t *testing.T) {
	c := qt.New(t)
	template, err := os.ReadFile("../../deploy/controller.ini")
	c.Assert(err, qt.IsNil)
	values := map[string]string{
		"seeds": "10.0.0.1:80,10.0.0.2:80", "ip": "10.0.0.1", "bootstrap": "true", "bounds.fencingRequired": "true",
		"listen.front": "10.0.0.1:81", "listen.ready": "10.0.0.1:82", "listen.control": "10.0.0.1:83",
		"bounds.retryBudgetRatio": "0.2", "bounds.graceS": "8",
	}
	rendered := regexp.MustCompile(`{{(.*?)}}`).ReplaceAllStringFunc(string(template), func(placeholder string) string {
		if value, ok := values[strings.Trim(placeholder, "{}")]; ok {
			return value
		}
		return "7000"
	})
	file := filepath.Join(t.TempDir(), "settings.ini")
	c.Assert(os.WriteFile(file, []byte(rendered), 0o600), qt.IsNil)
	_, faults := ReadRouted(file)
	c.Assert(faults, qt.HasLen, 0)
}

// Every fault of a file is told, not only the first.
func TestRoutedFaults(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "settings.ini")
	text := "[Instance]\nName = n\nListen = here\nIP = here\nZone = z\n[Log]\nLevel = Loud\n[Unknown]\nKey = 1\n"
	c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	_, faults := ReadRouted(file)
	all := ""
	for _, fault := range faults {
		all += fault.String() + "\n"
	}
	for _, want := range []string{"here is no IP number", "Level", "Unknown", "Seeds"} {
		c.Check(strings.Contains(all, want), qt.IsTrue, qt.Commentf("%q in\n%s", want, all))
	}
}
