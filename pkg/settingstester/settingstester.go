// Package settingstester contains helpers for the settings tests of the programs. Only tests
// import it.
package settingstester

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/configurer"
)

const (
	filePerm = 0o600
	// placeholderValue replaces each template placeholder that a test has no value for.
	placeholderValue = "7000"
)

// CheckPage checks that a page contains the settings description below a title, which ends with
// a line break. If update is set, it rewrites that part of the page instead.
func CheckPage(c *qt.C, page, title, description string, update bool) {
	want := title + description
	text, err := os.ReadFile(page)
	c.Assert(err, qt.IsNil)
	if !update {
		c.Assert(strings.Contains(string(text), want), qt.IsTrue, qt.Commentf("run: go test ./app -update"))
		return
	}
	before, after, _ := strings.Cut(string(text), title)
	_, rest, more := strings.Cut(after, "\n## ")
	if more {
		rest = "\n## " + rest
	}
	c.Assert(os.WriteFile(page, []byte(before+want+rest), filePerm), qt.IsNil)
}

// CheckTemplate renders a template and checks that reading the result reports no faults.
func CheckTemplate(c *qt.C, template string, values map[string]string, read func(file string) []configurer.Fault) {
	text, err := os.ReadFile(template)
	c.Assert(err, qt.IsNil)
	// Sections are rendered as if they were present.
	sections := regexp.MustCompile(`{{[#/](.*?)}}`).ReplaceAllString(string(text), "")
	rendered := regexp.MustCompile(`{{(.*?)}}`).ReplaceAllStringFunc(sections, func(placeholder string) string {
		if value, ok := values[strings.Trim(placeholder, "{}")]; ok {
			return value
		}
		return placeholderValue
	})
	c.Assert(read(WriteFile(c, rendered)), qt.HasLen, 0)
}

// CheckFaults checks that reading the settings reports at least the wanted faults.
func CheckFaults(c *qt.C, text string, wants []string, read func(file string) []configurer.Fault) {
	all := ""
	for _, fault := range read(WriteFile(c, text)) {
		all += fault.String() + "\n"
	}
	for _, want := range wants {
		c.Check(strings.Contains(all, want), qt.IsTrue, qt.Commentf("%q in\n%s", want, all))
	}
}

// WriteFile writes settings to a temporary file of the test.
func WriteFile(c *qt.C, text string) string {
	file := filepath.Join(c.TempDir(), "settings.ini")
	c.Assert(os.WriteFile(file, []byte(text), filePerm), qt.IsNil)
	return file
}
