// Package matcher checks a table of routes and finds the route of a request. It is
// pure: a compiled table never changes.
package matcher

import (
	"fmt"
	"slices"
	"strings"

	"bronzelead.example/pkg/wire"
)

// Matcher is a compiled table.
type Matcher struct {
	table    *wire.RoutingTable
	hosts    map[string][]*wire.Route
	services map[string]*wire.RoutedService
}

// New compiles a table that has no faults.
func New(table *wire.RoutingTable) *Matcher {
	m := &Matcher{
		table: table, hosts: map[string][]*wire.Route{}, services: map[string]*wire.RoutedService{},
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
	return m
}

// Table returns the table itself.
func (m *Matcher) Table() *wire.RoutingTable { return m.table }

// Service returns a service by its name, or nil.
func (m *Matcher) Service(name string) *wire.RoutedService { return m.services[name] }

// Match returns the route with the longest prefix that begins the target's path, or
// nil.
func (m *Matcher) Match(host, target string) *wire.Route {
	path, _, _ := strings.Cut(target, "?")
	for _, r := range m.hosts[hostname(host)] {
		if strings.HasPrefix(path, r.GetPathPrefix()) {
			return r
		}
	}
	return nil
}

// hostname leaves out the port and the case of a Host field.
func hostname(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}

// Pick returns the service for a request of a route: point, in [0, 1), falls into
// one of the shares.
func Pick(r *wire.Route, point float64) string {
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

// Faults returns everything that is wrong with a table; none means that it may come
// into force.
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
	places := map[string]string{}
	for _, r := range table.GetRoutes() {
		for _, problem := range routeFaults(r, services) {
			fault("route %q: %s", r.GetName(), problem)
		}
		place := strings.ToLower(r.GetHost()) + r.GetPathPrefix()
		if other, taken := places[place]; taken {
			fault("route %q: route %q has the same host and prefix", r.GetName(), other)
		}
		places[place] = r.GetName()
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
