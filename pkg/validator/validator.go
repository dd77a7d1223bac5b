// Package validator checks a contract before it is put into force. All faults of
// a contract are reported at once.
package validator

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/wire"
)

const (
	maxAdapters  = 50_000
	maxVersions  = 1_000
	namePattern  = `^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`
	maxKeepKeys  = 30 * 24 * time.Hour
	maxAtOnce    = 1_000_000
	keepOverRuns = 2
)

// Contract returns what is wrong with a contract, a line for each fault.
func Contract(c *wire.Contract) []string {
	v := &checker{names: regexp.MustCompile(namePattern)}
	v.name("Customer", c.GetCustomer())
	v.limits(c)
	v.classes(c)
	v.adapters(c)
	v.services(c)
	v.keys(c)
	return v.faults
}

type checker struct {
	names  *regexp.Regexp
	faults []string
}

func (v *checker) fault(format string, args ...any) {
	v.faults = append(v.faults, fmt.Sprintf(format, args...))
}

func (v *checker) name(what, name string) {
	if !v.names.MatchString(name) {
		v.fault("%s: %q is no name; allowed are up to 128 letters, digits, dots, dashes and underscores", what, name)
	}
}

func (v *checker) limits(c *wire.Contract) {
	deadline, keep := time.Duration(c.GetDeadlineNs()), time.Duration(c.GetKeepKeysNs())
	if n := c.GetRequestsAtOnce(); n == 0 || n > maxAtOnce {
		v.fault("RequestsAtOnce: %d is not from 1 to %d", n, maxAtOnce)
	}
	if c.GetQueueLength() > maxAtOnce {
		v.fault("QueueLength: %d is above %d", c.GetQueueLength(), maxAtOnce)
	}
	if deadline <= 0 || deadline > applier.MaxDeadline {
		v.fault("Deadline: %s is not above 0s and up to %s", deadline, applier.MaxDeadline)
	}
	if keep < keepOverRuns*deadline || keep > maxKeepKeys {
		// A key forgotten while its request may still run would let it run twice.
		v.fault("KeepKeys: %s is not from twice the deadline, %s, to %s", keep, keepOverRuns*deadline, maxKeepKeys)
	}
}

func (v *checker) classes(c *wire.Contract) {
	var seen []string
	for _, class := range c.GetClasses() {
		v.name("Class", class.GetName())
		v.once("Class", &seen, class.GetName())
	}
}

func (v *checker) once(what string, seen *[]string, name string) {
	if slices.Contains(*seen, name) {
		v.fault("%s %s is there twice", what, name)
	}
	*seen = append(*seen, name)
}

func (v *checker) class(what, class string, c *wire.Contract) {
	known := slices.ContainsFunc(c.GetClasses(), func(t *wire.ClassTerms) bool { return t.GetName() == class })
	if class != "" && !known {
		v.fault("%s: class %q is not one of the contract's classes", what, class)
	}
}

func (v *checker) adapters(c *wire.Contract) {
	if len(c.GetAdapters()) > maxAdapters {
		v.fault("Adapters: %d are more than %d", len(c.GetAdapters()), maxAdapters)
		return
	}
	seen := map[string]bool{}
	for _, a := range c.GetAdapters() {
		what := "Adapter " + a.GetName()
		v.name("Adapter", a.GetName())
		v.name(what+" BaseModel", a.GetBaseModel())
		v.class(what, a.GetClass(), c)
		if seen[a.GetName()] {
			v.fault("%s is there twice", what)
		}
		seen[a.GetName()] = true
		if n := len(a.GetVersions()); n == 0 || n > maxVersions {
			v.fault("%s: %d versions are not from 1 to %d", what, n, maxVersions)
		}
		for _, version := range a.GetVersions() {
			v.name(what+" Versions", version)
		}
	}
}

func (v *checker) services(c *wire.Contract) {
	var seen []string
	for _, s := range c.GetServices() {
		what := "Service " + s.GetName()
		v.name("Service", s.GetName())
		v.once("Service", &seen, s.GetName())
		v.class(what, s.GetClass(), c)
		if !ValidKeyFrom(s.GetKeyFrom()) {
			v.fault("%s KeyFrom: %q is not empty, Header:NAME, Field:NAME or Digest", what, s.GetKeyFrom())
		}
		for _, method := range s.GetNonIdempotentMethods() {
			if method != strings.ToUpper(method) || method == "" {
				v.fault("%s NonIdempotentMethods: %q is no method in capitals", what, method)
			}
		}
	}
}

// ValidKeyFrom reports whether a rule for deriving a missing key can be used.
func ValidKeyFrom(rule string) bool {
	if rule == "" || rule == "Digest" {
		return true
	}
	source, name, _ := strings.Cut(rule, ":")
	return (source == "Header" || source == "Field") && name != ""
}

func (v *checker) keys(c *wire.Contract) {
	var names, digests []string
	for _, k := range c.GetKeys() {
		v.name("Key", k.GetName())
		v.once("Key", &names, k.GetName())
		if _, err := authenticator.ParseDigest(k.GetDigest()); err != nil {
			// The value is not shown: somebody may have written the key itself.
			v.fault("Key %s Digest: the value is no SHA-256 in 64 hexadecimal digits", k.GetName())
			continue
		}
		v.once("Digest", &digests, strings.ToLower(k.GetDigest()))
	}
}
