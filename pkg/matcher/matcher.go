// Package matcher validates a routing table and finds the route of a request. It is pure: a
// compiled table never changes.
package matcher

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/wire"
)

// Matcher is a compiled table.
type Matcher struct {
	table          *wire.RoutingTable
	hosts          map[string][]*wire.Route
	services       map[string]*wire.RoutedService
	customersByKey map[authenticator.Digest]*wire.RoutedCustomer
}

// New compiles a table that has no faults.
func New(table *wire.RoutingTable) *Matcher {
	m := &Matcher{
		table: table, hosts: map[string][]*wire.Route{}, services: map[string]*wire.RoutedService{},
		customersByKey: map[authenticator.Digest]*wire.RoutedCustomer{},
	}
	for _, r := range table.GetRoutes() {
		host := strings.ToLower(r.GetHost())
		m.hosts[host] = append(m.hosts[host], r)
	}
	for _, routes := range m.hosts {
		slices.SortFunc(routes, func(a, b *wire.Route) int {
			return len(b.GetPathPrefix()) - len(a.GetPathPrefix())
		})
	}
	for _, s := range table.GetServices() {
		m.services[s.GetName()] = s
	}
	for _, customer := range table.GetCustomers() {
		for _, digest := range customer.GetKeyDigests() {
			m.customersByKey[authenticator.Digest(digest)] = customer
		}
	}
	return m
}

// CustomerByKey returns the customer that holds a key, or nil.
func (m *Matcher) CustomerByKey(key string) *wire.RoutedCustomer {
	if key == "" || len(m.customersByKey) == 0 {
		return nil
	}
	return m.customersByKey[authenticator.DigestOf(key)]
}

// RequiresKey reports whether requests on a route must carry the key of a customer.
func (m *Matcher) RequiresKey(r *wire.Route) bool { return m.table.GetKeysRequired() && !r.GetOpen() }

// Table returns the table itself.
func (m *Matcher) Table() *wire.RoutingTable { return m.table }

// Service returns a service by its name, or nil.
func (m *Matcher) Service(name string) *wire.RoutedService { return m.services[name] }

// Match returns the route with the longest prefix of the target's path, or nil.
func (m *Matcher) Match(host, target string) *wire.Route {
	path, _, _ := strings.Cut(target, "?")
	for _, r := range m.hosts[hostname(host)] {
		if strings.HasPrefix(path, r.GetPathPrefix()) {
			return r
		}
	}
	return nil
}

// hostname removes the port of a Host field and converts it to lower case.
func hostname(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}

// PickService returns the service for a request of a route: point, in [0, 1), selects one of
// the shares.
func PickService(r *wire.Route, point float64) string {
	total := uint32(0)
	for _, s := range r.GetShares() {
		total += s.GetWeight()
	}
	at := point * float64(total)
	for _, s := range r.GetShares() {
		at -= float64(s.GetWeight())
		if at < 0 {
			return s.GetService()
		}
	}
	return ""
}

// LeadsTo reports whether a part of a route's requests goes to a service.
func LeadsTo(r *wire.Route, service string) bool {
	return slices.ContainsFunc(r.GetShares(), func(s *wire.Share) bool { return s.GetService() == service && s.GetWeight() > 0 })
}

// Faults returns everything that is wrong with a table; it may come into force only without
// faults.
func Faults(table *wire.RoutingTable) []string {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	services := map[string]bool{}
	for _, s := range table.GetServices() {
		if services[s.GetName()] {
			fault("service %q is listed twice", s.GetName())
		}
		services[s.GetName()] = true
	}
	routeKeys := map[string]string{}
	for _, r := range table.GetRoutes() {
		for _, problem := range routeFaults(r, services) {
			fault("route %q: %s", r.GetName(), problem)
		}
		key := strings.ToLower(r.GetHost()) + r.GetPathPrefix()
		if other, taken := routeKeys[key]; taken {
			fault("route %q: route %q has the same host and prefix", r.GetName(), other)
		}
		routeKeys[key] = r.GetName()
	}
	return append(faults, customerFaults(table.GetCustomers())...)
}

func customerFaults(customers []*wire.RoutedCustomer) []string {
	var faults []string
	fault := func(c *wire.RoutedCustomer, format string, args ...any) {
		faults = append(faults, fmt.Sprintf("customer %q: %s", c.GetName(), fmt.Sprintf(format, args...)))
	}
	names := map[string]bool{}
	keyOwners := map[string]string{}
	for i, c := range customers {
		if c.GetName() == "" {
			fault(c, "number %d has no name", i+1)
		}
		if c.GetName() != "" && names[c.GetName()] {
			fault(c, "it is listed twice")
		}
		names[c.GetName()] = true
		for _, digest := range c.GetKeyDigests() {
			other, taken := keyOwners[string(digest)]
			switch {
			case len(digest) != len(authenticator.Digest{}):
				fault(c, "a key is empty, or begins or ends with a space")
			case taken && other != c.GetName():
				fault(c, "customer %q has the same key", other)
			}
			keyOwners[string(digest)] = c.GetName()
		}
		for _, problem := range limitFaults(c.GetLimit()) {
			fault(c, "%s", problem)
		}
	}
	return faults
}

func limitFaults(l *wire.CustomerLimit) []string {
	if l == nil {
		return nil
	}
	var faults []string
	if l.GetUnit() == wire.LimitUnit_LIMIT_UNIT_UNSPECIFIED {
		faults = append(faults, "the unit of its limit is not known")
	}
	for _, part := range []struct {
		name  string
		value float64
	}{{"rate", l.GetRatePerSecond()}, {"burst", l.GetBurst()}, {"size of a plain request", l.GetPlainTokens()}} {
		if part.value < 0 || math.IsInf(part.value, 0) || math.IsNaN(part.value) {
			faults = append(faults, fmt.Sprintf("the %s of its limit is no number from 0 on", part.name))
		}
	}
	return faults
}

func routeFaults(r *wire.Route, services map[string]bool) []string {
	var faults []string
	if r.GetTimeoutMs() == 0 {
		faults = append(faults, "the timeout is 0")
	}
	if r.GetHost() == "" {
		faults = append(faults, "there is no host")
	}
	if p := r.GetPathPrefix(); !strings.HasPrefix(p, "/") || !strings.HasSuffix(p, "/") {
		faults = append(faults, "the prefix does not begin and end with a slash")
	}
	if r.GetRepetition() == wire.Repetition_REPETITION_UNSPECIFIED {
		faults = append(faults, "its kind is not known")
	}
	total := uint32(0)
	for _, s := range r.GetShares() {
		total += s.GetWeight()
		if !services[s.GetService()] {
			faults = append(faults, fmt.Sprintf("service %q is unknown", s.GetService()))
		}
	}
	if total == 0 {
		faults = append(faults, "the weights add up to 0")
	}
	return faults
}
