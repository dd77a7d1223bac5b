// Package validator checks a contract before it takes effect. It reports all faults of a
// contract.
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
	maxAdapters   = 50_000
	maxVersions   = 1_000
	namePattern   = `^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`
	maxKeepKeys   = 30 * 24 * time.Hour
	maxConcurrent = 1_000_000
	minKeepFactor = 2
)

// Contract returns the faults of a contract, one line each.
func Contract(c *wire.Contract) []string {
	v := &checker{nameRegexp: regexp.MustCompile(namePattern)}
	v.checkName("Customer", c.GetCustomer())
	v.checkLimits(c)
	v.checkClasses(c)
	v.checkAdapters(c)
	v.checkServices(c)
	v.checkKeys(c)
	return v.faults
}

type checker struct {
	nameRegexp *regexp.Regexp
	faults     []string
}

func (v *checker) addFault(format string, args ...any) {
	v.faults = append(v.faults, fmt.Sprintf(format, args...))
}

func (v *checker) checkName(what, name string) {
	if !v.nameRegexp.MatchString(name) {
		v.addFault("%s: %q is no name; allowed are up to 128 letters, digits, dots, dashes and underscores", what, name)
	}
}

func (v *checker) checkLimits(c *wire.Contract) {
	deadline, keep := time.Duration(c.GetDeadlineNs()), time.Duration(c.GetKeepKeysNs())
	if n := c.GetRequestsAtOnce(); n == 0 || n > maxConcurrent {
		v.addFault("RequestsAtOnce: %d is not from 1 to %d", n, maxConcurrent)
	}
	if c.GetQueueLength() > maxConcurrent {
		v.addFault("QueueLength: %d is above %d", c.GetQueueLength(), maxConcurrent)
	}
	if deadline <= 0 || deadline > applier.MaxDeadline {
		v.addFault("Deadline: %s is not above 0s and up to %s", deadline, applier.MaxDeadline)
	}
	if keep < minKeepFactor*deadline || keep > maxKeepKeys {
		// If a key expired while its request may still be running, a repeat would run again.
		v.addFault("KeepKeys: %s is not from twice the deadline, %s, to %s", keep, minKeepFactor*deadline, maxKeepKeys)
	}
}

func (v *checker) checkClasses(c *wire.Contract) {
	var seen []string
	for _, class := range c.GetClasses() {
		v.checkName("Class", class.GetName())
		v.checkUnique("Class", &seen, class.GetName())
	}
}

func (v *checker) checkUnique(what string, seen *[]string, name string) {
	if slices.Contains(*seen, name) {
		v.addFault("%s %s is there twice", what, name)
	}
	*seen = append(*seen, name)
}

func (v *checker) checkClass(what, class string, c *wire.Contract) {
	known := slices.ContainsFunc(c.GetClasses(), func(t *wire.ClassTerms) bool { return t.GetName() == class })
	if class != "" && !known {
		v.addFault("%s: class %q is not one of the contract's classes", what, class)
	}
}

func (v *checker) checkAdapters(c *wire.Contract) {
	if len(c.GetAdapters()) > maxAdapters {
		v.addFault("Adapters: %d are more than %d", len(c.GetAdapters()), maxAdapters)
		return
	}
	seen := map[string]bool{}
	for _, a := range c.GetAdapters() {
		what := "Adapter " + a.GetName()
		v.checkName("Adapter", a.GetName())
		v.checkName(what+" BaseModel", a.GetBaseModel())
		v.checkClass(what, a.GetClass(), c)
		if seen[a.GetName()] {
			v.addFault("%s is there twice", what)
		}
		seen[a.GetName()] = true
		if n := len(a.GetVersions()); n == 0 || n > maxVersions {
			v.addFault("%s: %d versions are not from 1 to %d", what, n, maxVersions)
		}
		for _, version := range a.GetVersions() {
			v.checkName(what+" Versions", version)
		}
	}
}

func (v *checker) checkServices(c *wire.Contract) {
	var seen []string
	for _, s := range c.GetServices() {
		what := "Service " + s.GetName()
		v.checkName("Service", s.GetName())
		v.checkUnique("Service", &seen, s.GetName())
		v.checkClass(what, s.GetClass(), c)
		if !ValidKeyFrom(s.GetKeyFrom()) {
			v.addFault("%s KeyFrom: %q is not empty, Header:NAME, Field:NAME or Digest", what, s.GetKeyFrom())
		}
		for _, method := range s.GetNonIdempotentMethods() {
			if method != strings.ToUpper(method) || method == "" {
				v.addFault("%s NonIdempotentMethods: %q is no method in capitals", what, method)
			}
		}
	}
}

// ValidKeyFrom reports whether a rule for deriving a missing key is valid.
func ValidKeyFrom(rule string) bool {
	if rule == "" || rule == "Digest" {
		return true
	}
	source, name, _ := strings.Cut(rule, ":")
	return (source == "Header" || source == "Field") && name != ""
}

func (v *checker) checkKeys(c *wire.Contract) {
	var names, digests []string
	for _, k := range c.GetKeys() {
		v.checkName("Key", k.GetName())
		v.checkUnique("Key", &names, k.GetName())
		if _, err := authenticator.ParseDigest(k.GetDigest()); err != nil {
			// The value is not shown, since it may be the key itself by mistake.
			v.addFault("Key %s Digest: the value is no SHA-256 in 64 hexadecimal digits", k.GetName())
			continue
		}
		v.checkUnique("Digest", &digests, strings.ToLower(k.GetDigest()))
	}
}
