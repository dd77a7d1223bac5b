// Package settingstester holds what the programs' tests of their settings share. Only
// tests import it.
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
	pagePerm = 0o600
	// sample stands for each placeholder of a template that a test has no value for.
	sample = "7000"
)

// CheckPage checks that a page holds the description of settings under a title, which ends
// with a line break; with update set it writes the page's part anew.
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
	c.Assert(os.WriteFile(page, []byte(before+want+rest), pagePerm), qt.IsNil)
}

// CheckTemplate fills a template in and checks that reading the result finds no fault.
func CheckTemplate(c *qt.C, template string, values map[string]string, read func(file string) []configurer.Fault) {
	text, err := os.ReadFile(template)
	c.Assert(err, qt.IsNil)
	// A section is taken as present.
	sections := regexp.MustCompile(`{{[#/](.*?)}}`).ReplaceAllString(string(text), "")
	rendered := regexp.MustCompile(`{{(.*?)}}`).ReplaceAllStringFunc(sections, func(placeholder string) string {
		if value, ok := values[strings.Trim(placeholder, "{}")]; ok {
			return value
		}
		return sample
	})
	c.Assert(read(WriteFile(c, rendered)), qt.HasLen, 0)
}

// CheckFaults checks that reading settings finds at least the wanted faults.
func CheckFaults(c *qt.C, text string, wants []string, read func(file string) []configurer.Fault) {
	all := ""
	for _, fault := range read(WriteFile(c, text)) {
		all += fault.String() + "\n"
	}
	for _, want := range wants {
		c.Check(strings.Contains(all, want), qt.IsTrue, qt.Commentf("%q in\n%s", want, all))
	}
}

// WriteFile writes settings to a file of the test's own.
func WriteFile(c *qt.C, text string) string {
	file := filepath.Join(c.TempDir(), "settings.ini")
	c.Assert(os.WriteFile(file, []byte(text), pagePerm), qt.IsNil)
	return file
}
