// Package registrar holds the contracts in force at a gateway, for fast look-ups by many
// goroutines. Each change creates a new directory.
package registrar

import (
	"maps"
	"slices"
	"sync/atomic"

	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/translator"
	"bronzelead.example/pkg/wire"
)

// Terms is one customer's contract, indexed for look-ups.
type Terms struct {
	Contract *wire.Contract
	// models maps the names that callers use to adapters.
	models   map[string]*wire.AdapterTerms
	services map[string]*wire.ServiceTerms
	classes  map[string]*wire.ClassTerms
}

// Directory holds all contracts at one moment. It does not change.
type Directory struct {
	customers map[string]*Terms
	keys      map[authenticator.Digest]*Terms
}

// Registrar holds the current directory. The zero value is empty.
type Registrar struct {
	current atomic.Pointer[Directory]
}

// Apply puts contracts into force.
func (r *Registrar) Apply(contracts []*wire.Contract) {
	if len(contracts) == 0 {
		return
	}
	next := &Directory{customers: map[string]*Terms{}, keys: map[authenticator.Digest]*Terms{}}
	if old := r.current.Load(); old != nil {
		next.customers = maps.Clone(old.customers)
	}
	for _, c := range contracts {
		next.customers[c.GetCustomer()] = newTerms(c)
	}
	for _, name := range slices.Sorted(maps.Keys(next.customers)) {
		next.addKeys(next.customers[name])
	}
	r.current.Store(next)
}

func (d *Directory) addKeys(t *Terms) {
	for _, key := range t.Contract.GetKeys() {
		if digest, err := authenticator.ParseDigest(key.GetDigest()); err == nil {
			d.keys[digest] = t
		}
	}
}

// ByKey returns the terms of the customer that a key belongs to, or nil.
func (r *Registrar) ByKey(key string) *Terms {
	d := r.current.Load()
	if d == nil || key == "" {
		return nil
	}
	return d.keys[authenticator.DigestOf(key)]
}

// ByCustomer returns a customer's terms, or nil.
func (r *Registrar) ByCustomer(name string) *Terms {
	d := r.current.Load()
	if d == nil {
		return nil
	}
	return d.customers[name]
}

func newTerms(c *wire.Contract) *Terms {
	t := &Terms{
		Contract: c, models: map[string]*wire.AdapterTerms{},
		services: map[string]*wire.ServiceTerms{}, classes: map[string]*wire.ClassTerms{},
	}
	for _, a := range c.GetAdapters() {
		for _, version := range a.GetVersions() {
			t.models[translator.ModelName(a.GetName(), version)] = a
		}
	}
	for _, s := range c.GetServices() {
		t.services[s.GetName()] = s
	}
	for _, class := range c.GetClasses() {
		t.classes[class.GetName()] = class
	}
	return t
}

// Customer returns the customer's name.
func (t *Terms) Customer() string { return t.Contract.GetCustomer() }

// Adapter returns the terms for a model name with its version, or nil.
func (t *Terms) Adapter(model string) *wire.AdapterTerms { return t.models[model] }

// Service returns the terms for a service, or nil.
func (t *Terms) Service(name string) *wire.ServiceTerms { return t.services[name] }

// Models returns the model names that the customer may call.
func (t *Terms) Models() []string { return slices.Sorted(maps.Keys(t.models)) }

// Priority returns a class's priority, 0 for an unknown class.
func (t *Terms) Priority(class string) int32 { return t.classes[class].GetPriority() }

// HasClass reports whether the contract names a class.
func (t *Terms) HasClass(class string) bool { return t.classes[class] != nil }
