// Package drafter reads and writes contracts as operators write them: INI files with
// a section for the contract and one for each class, adapter, service and key.
package contractparser

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"bronzelead.example/pkg/wire"
)

// The kinds of sections.
const (
	sectionContract = "Contract"
	sectionClass    = "Class"
	sectionAdapter  = "Adapter"
	sectionService  = "Service"
	sectionKey      = "Key"
)

// Parse decodes a contract. Every fault is reported, a line each.
func Parse(data []byte) (*wire.Contract, []string) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", AllowNonUniqueSections: true}, data)
	if err != nil {
		return nil, []string{"the document can't be read: " + err.Error()}
	}
	r := &reader{contract: &wire.Contract{}}
	for _, section := range file.Sections() {
		r.section(section)
	}
	return r.contract, r.faults
}

type reader struct {
	contract *wire.Contract
	faults   []string
	where    string
}

func (r *reader) fault(key, format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf("[%s] %s: ", r.where, key)+fmt.Sprintf(format, args...))
}

func (r *reader) section(section *ini.Section) {
	if section.Name() == ini.DefaultSection {
		for _, key := range section.Keys() {
			r.where = ""
			r.fault(key.Name(), "stands before the first section")
		}
		return
	}
	r.where = section.Name()
	kind, name, _ := strings.Cut(section.Name(), " ")
	name = strings.TrimSpace(name)
	switch kind {
	case sectionContract:
		r.readContract(section)
	case sectionClass:
		class := &wire.ClassTerms{Name: name}
		r.keys(section, fields{"Priority": r.integer(&class.Priority)})
		r.contract.Classes = append(r.contract.Classes, class)
	case sectionAdapter:
		a := &wire.AdapterTerms{Name: name}
		r.keys(section, fields{
			"BaseModel": text(&a.BaseModel), "Versions": list(&a.Versions),
			"Class": text(&a.Class), "NonIdempotent": r.boolean(&a.NonIdempotent),
		})
		r.contract.Adapters = append(r.contract.Adapters, a)
	case sectionService:
		s := &wire.ServiceTerms{Name: name}
		r.keys(section, fields{
			"Class": text(&s.Class), "NonIdempotentMethods": list(&s.NonIdempotentMethods), "KeyFrom": text(&s.KeyFrom),
		})
		r.contract.Services = append(r.contract.Services, s)
	case sectionKey:
		k := &wire.KeyTerms{Name: name}
		r.keys(section, fields{"Digest": text(&k.Digest)})
		r.contract.Keys = append(r.contract.Keys, k)
	default:
		r.fault("", "unknown section; known are Contract, Class NAME, Adapter NAME, Service NAME, Key NAME")
	}
}

func (r *reader) readContract(section *ini.Section) {
	c := r.contract
	r.keys(section, fields{
		"Customer": text(&c.Customer), "Version": r.version(&c.Version),
		"RequestsAtOnce": r.count(&c.RequestsAtOnce), "QueueLength": r.count(&c.QueueLength),
		"Deadline": r.duration(&c.DeadlineNs), "KeepKeys": r.duration(&c.KeepKeysNs),
	})
}

// fields maps the keys of a section to what takes their values.
type fields map[string]func(key, value string)

func (r *reader) keys(section *ini.Section, known fields) {
	for _, key := range section.Keys() {
		take := known[key.Name()]
		if take == nil {
			r.fault(key.Name(), "unknown key")
			continue
		}
		take(key.Name(), strings.TrimSpace(key.String()))
	}
}

func text(target *string) func(key, value string) {
	return func(_, value string) { *target = value }
}

func list(target *[]string) func(key, value string) {
	return func(_, value string) {
		for _, item := range strings.Split(value, ",") {
			if item = strings.TrimSpace(item); item != "" {
				*target = append(*target, item)
			}
		}
	}
}

func (r *reader) boolean(target *bool) func(key, value string) {
	return func(key, value string) {
		b, err := strconv.ParseBool(value)
		if err != nil {
			r.fault(key, "%q is not true or false", value)
		}
		*target = b
	}
}

func (r *reader) integer(target *int32) func(key, value string) {
	return func(key, value string) {
		n, err := strconv.ParseInt(value, 10, 32)
		if err != nil {
			r.fault(key, "%q is no whole number", value)
		}
		*target = int32(n)
	}
}

func (r *reader) count(target *uint32) func(key, value string) {
	return func(key, value string) {
		n, err := strconv.ParseUint(value, 10, 32)
		if err != nil {
			r.fault(key, "%q is no whole number from 0 up", value)
		}
		*target = uint32(n)
	}
}

func (r *reader) version(target *uint64) func(key, value string) {
	return func(key, value string) {
		n, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			r.fault(key, "%q is no whole number from 0 up", value)
		}
		*target = n
	}
}

func (r *reader) duration(target *int64) func(key, value string) {
	return func(key, value string) {
		d, err := time.ParseDuration(value)
		if err != nil {
			r.fault(key, "%q is no duration such as 30s or 24h", value)
		}
		*target = int64(d)
	}
}

// Format encodes a contract so that Read gives it back.
func Format(c *wire.Contract) string {
	b := &strings.Builder{}
	_, _ = fmt.Fprintf(b, "[Contract]\nCustomer = %s\nVersion = %d\nRequestsAtOnce = %d\nQueueLength = %d\nDeadline = %s\nKeepKeys = %s\n",
		c.GetCustomer(), c.GetVersion(), c.GetRequestsAtOnce(), c.GetQueueLength(),
		time.Duration(c.GetDeadlineNs()), time.Duration(c.GetKeepKeysNs()))
	for _, class := range c.GetClasses() {
		_, _ = fmt.Fprintf(b, "\n[Class %s]\nPriority = %d\n", class.GetName(), class.GetPriority())
	}
	for _, a := range c.GetAdapters() {
		_, _ = fmt.Fprintf(b, "\n[Adapter %s]\nBaseModel = %s\nVersions = %s\nClass = %s\nNonIdempotent = %t\n",
			a.GetName(), a.GetBaseModel(), strings.Join(a.GetVersions(), ", "), a.GetClass(), a.GetNonIdempotent())
	}
	for _, s := range c.GetServices() {
		_, _ = fmt.Fprintf(b, "\n[Service %s]\nClass = %s\nNonIdempotentMethods = %s\nKeyFrom = %s\n",
			s.GetName(), s.GetClass(), strings.Join(s.GetNonIdempotentMethods(), ", "), s.GetKeyFrom())
	}
	for _, k := range c.GetKeys() {
		_, _ = fmt.Fprintf(b, "\n[Key %s]\nDigest = %s\n", k.GetName(), k.GetDigest())
	}
	return b.String()
}
