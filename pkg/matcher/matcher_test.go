package matcher

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

func route(name, host, prefix string, change ...func(*wire.Route)) *wire.Route {
	r := &wire.Route{
		Name: name, Host: host, PathPrefix: prefix, Repetition: wire.Repetition_REPETITION_IDEMPOTENT,
		TimeoutMs: 1000, Shares: []*wire.Share{{Service: "s", Weight: 1}},
	}
	for _, c := range change {
		c(r)
	}
	return r
}

func table(routes ...*wire.Route) *wire.RoutingTable {
	return &wire.RoutingTable{Version: 1, Routes: routes, Services: []*wire.RoutedService{{Name: "s"}, {Name: "t"}}}
}

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	m := New(table(route("short", "a.example", "/x/"), route("long", "A.example", "/x/y/"), route("other", "b.example", "/")))
	for name, test := range map[string]struct{ host, target, want string }{
		"the short one":             {"a.example", "/x/z", "short"},
		"the long one":              {"a.example", "/x/y/z?q=/", "long"},
		"a host with a port":        {"a.example:8080", "/x/", "short"},
		"a host in capitals":        {"A.EXAMPLE", "/x/", "short"},
		"no slash behind the name":  {"a.example", "/x", ""},
		"an unknown host":           {"c.example", "/x/", ""},
		"a prefix of another host":  {"b.example", "/x/y/", "other"},
		"a prefix inside the query": {"a.example", "/z?/x/", ""},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(m.Match(test.host, test.target).GetName(), qt.Equals, test.want)
		})
	}
}

func TestSharesFollowTheWeights(t *testing.T) {
	c := qt.New(t)
	r := route("r", "h", "/", func(r *wire.Route) {
		r.Shares = []*wire.Share{{Service: "s", Weight: 90}, {Service: "none", Weight: 0}, {Service: "t", Weight: 10}}
	})
	counts := map[string]int{}
	for i := range 1000 {
		counts[PickService(r, float64(i)/1000)]++
	}
	c.Assert(counts, qt.DeepEquals, map[string]int{"s": 900, "t": 100})
}

func TestEachFaultIsNamed(t *testing.T) {
	for name, test := range map[string]struct {
		table *wire.RoutingTable
		want  []string
	}{
		"a valid table":            {table(route("a", "h", "/x/"), route("b", "h", "/y/")), nil},
		"the same host and prefix": {table(route("a", "h", "/x/"), route("b", "H", "/x/")), []string{"same host and prefix"}},
		"an unknown service":       {table(route("a", "h", "/x/", func(r *wire.Route) { r.Shares[0].Service = "u" })), []string{`service "u" is unknown`}},
		"no weight":                {table(route("a", "h", "/x/", func(r *wire.Route) { r.Shares[0].Weight = 0 })), []string{"add up to 0"}},
		"no timeout":               {table(route("a", "h", "/x/", func(r *wire.Route) { r.TimeoutMs = 0 })), []string{"the timeout is 0"}},
		"an unknown kind":          {table(route("a", "h", "/x/", func(r *wire.Route) { r.Repetition = 0 })), []string{"kind is not known"}},
		"a bad prefix":             {table(route("a", "h", "x/")), []string{"begin and end with a slash"}},
		"two faults": {
			table(route("a", "h", "/x/", func(r *wire.Route) { r.TimeoutMs, r.Shares[0].Service = 0, "u" })),
			[]string{"the timeout is 0", `service "u" is unknown`},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			before := proto.CloneOf(test.table)
			faults := Faults(test.table)
			c.Assert(faults, qt.HasLen, len(test.want))
			for i, want := range test.want {
				c.Check(strings.Contains(faults[i], want), qt.IsTrue, qt.Commentf("%s", faults[i]))
			}
			c.Check(proto.Equal(before, test.table), qt.IsTrue)
		})
	}
}
