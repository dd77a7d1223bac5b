// Package contractparser parses and formats contracts as operators write them: INI files with a
// section for the contract and one for each class, adapter, service and key.
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

// Parse decodes a contract. It reports all faults, one line each.
func Parse(data []byte) (*wire.Contract, []string) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", AllowNonUniqueSections: true}, data)
	if err != nil {
		return nil, []string{"the document can't be read: " + err.Error()}
	}
	p := &parser{contract: &wire.Contract{}}
	for _, section := range file.Sections() {
		p.readSection(section)
	}
	return p.contract, p.faults
}

type parser struct {
	contract    *wire.Contract
	faults      []string
	sectionName string
}

func (p *parser) fault(key, format string, args ...any) {
	p.faults = append(p.faults, fmt.Sprintf("[%s] %s: ", p.sectionName, key)+fmt.Sprintf(format, args...))
}

func (p *parser) readSection(section *ini.Section) {
	if section.Name() == ini.DefaultSection {
		for _, key := range section.Keys() {
			p.sectionName = ""
			p.fault(key.Name(), "stands before the first section")
		}
		return
	}
	p.sectionName = section.Name()
	kind, name, _ := strings.Cut(section.Name(), " ")
	name = strings.TrimSpace(name)
	switch kind {
	case sectionContract:
		p.readContract(section)
	case sectionClass:
		class := &wire.ClassTerms{Name: name}
		p.readKeys(section, fields{"Priority": p.integer(&class.Priority)})
		p.contract.Classes = append(p.contract.Classes, class)
	case sectionAdapter:
		a := &wire.AdapterTerms{Name: name}
		p.readKeys(section, fields{
			"BaseModel": text(&a.BaseModel), "Versions": list(&a.Versions),
			"Class": text(&a.Class), "NonIdempotent": p.boolean(&a.NonIdempotent),
		})
		p.contract.Adapters = append(p.contract.Adapters, a)
	case sectionService:
		s := &wire.ServiceTerms{Name: name}
		p.readKeys(section, fields{
			"Class": text(&s.Class), "NonIdempotentMethods": list(&s.NonIdempotentMethods), "KeyFrom": text(&s.KeyFrom),
		})
		p.contract.Services = append(p.contract.Services, s)
	case sectionKey:
		k := &wire.KeyTerms{Name: name}
		p.readKeys(section, fields{"Digest": text(&k.Digest)})
		p.contract.Keys = append(p.contract.Keys, k)
	default:
		p.fault("", "unknown section; known are Contract, Class NAME, Adapter NAME, Service NAME, Key NAME")
	}
}

func (p *parser) readContract(section *ini.Section) {
	c := p.contract
	p.readKeys(section, fields{
		"Customer": text(&c.Customer), "Version": p.version(&c.Version),
		"RequestsAtOnce": p.count(&c.RequestsAtOnce), "QueueLength": p.count(&c.QueueLength),
		"Deadline": p.duration(&c.DeadlineNs), "KeepKeys": p.duration(&c.KeepKeysNs),
	})
}

// fields maps the keys of a section to the setters of their values.
type fields map[string]func(key, value string)

func (p *parser) readKeys(section *ini.Section, known fields) {
	for _, key := range section.Keys() {
		set := known[key.Name()]
		if set == nil {
			p.fault(key.Name(), "unknown key")
			continue
		}
		set(key.Name(), strings.TrimSpace(key.String()))
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

func (p *parser) boolean(target *bool) func(key, value string) {
	return func(key, value string) {
		b, err := strconv.ParseBool(value)
		if err != nil {
			p.fault(key, "%q is not true or false", value)
		}
		*target = b
	}
}

func (p *parser) integer(target *int32) func(key, value string) {
	return func(key, value string) {
		n, err := strconv.ParseInt(value, 10, 32)
		if err != nil {
			p.fault(key, "%q is no whole number", value)
		}
		*target = int32(n)
	}
}

func (p *parser) count(target *uint32) func(key, value string) {
	return func(key, value string) {
		n, err := strconv.ParseUint(value, 10, 32)
		if err != nil {
			p.fault(key, "%q is no whole number from 0 up", value)
		}
		*target = uint32(n)
	}
}

func (p *parser) version(target *uint64) func(key, value string) {
	return func(key, value string) {
		n, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			p.fault(key, "%q is no whole number from 0 up", value)
		}
		*target = n
	}
}

func (p *parser) duration(target *int64) func(key, value string) {
	return func(key, value string) {
		d, err := time.ParseDuration(value)
		if err != nil {
			p.fault(key, "%q is no duration such as 30s or 24h", value)
		}
		*target = int64(d)
	}
}

// Format encodes a contract so that Parse returns it unchanged.
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
