package matcher

import (
	"fmt"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/wire"
)

func customer(name string, keys ...string) *wire.RoutedCustomer {
	c := &wire.RoutedCustomer{Name: name}
	for _, key := range keys {
		digest := authenticator.DigestOf(key)
		c.KeyDigests = append(c.KeyDigests, digest[:])
	}
	return c
}

func limited(c *wire.RoutedCustomer, unit wire.LimitUnit, rate, burst, plain float64) *wire.RoutedCustomer {
	c.Limit = &wire.CustomerLimit{Unit: unit, RatePerSecond: rate, Burst: burst, PlainTokens: plain}
	return c
}

func customers(list ...*wire.RoutedCustomer) *wire.RoutingTable {
	t := table(route("r", "h", "/"))
	t.KeysRequired, t.Customers = true, list
	return t
}

func TestCustomerByKey(t *testing.T) {
	c := qt.New(t)
	m := New(customers(customer("a", "k1", "k2"), customer("b", "k3")))
	c.Check(m.CustomerByKey("k2").GetName(), qt.Equals, "a")
	c.Check(m.CustomerByKey("k3").GetName(), qt.Equals, "b")
	for _, unknown := range []string{"", "k", "K1", "k1 ", "k1,k2"} {
		c.Check(m.CustomerByKey(unknown), qt.IsNil, qt.Commentf("%q", unknown))
	}
}

func TestRequiresKey(t *testing.T) {
	c := qt.New(t)
	open := route("open", "h", "/open/", func(r *wire.Route) { r.Open = true })
	closed := route("closed", "h", "/closed/")
	m := New(&wire.RoutingTable{KeysRequired: true})
	c.Check(m.RequiresKey(closed), qt.IsTrue)
	c.Check(m.RequiresKey(open), qt.IsFalse)
	c.Check(New(&wire.RoutingTable{}).RequiresKey(closed), qt.IsFalse)
}

func TestCustomerFaults(t *testing.T) {
	tokens := wire.LimitUnit_LIMIT_UNIT_TOKENS
	for name, test := range map[string]struct {
		customers []*wire.RoutedCustomer
		want      []string
	}{
		"none":                        {nil, nil},
		"without keys":                {[]*wire.RoutedCustomer{customer("a")}, nil},
		"one key twice at one":        {[]*wire.RoutedCustomer{customer("a", "k", "k")}, nil},
		"one key at two":              {[]*wire.RoutedCustomer{customer("a", "k"), customer("b", "k")}, []string{`customer "a" has the same key`}},
		"one name":                    {[]*wire.RoutedCustomer{customer("a", "k"), customer("a", "l")}, []string{"listed twice"}},
		"no name":                     {[]*wire.RoutedCustomer{customer("", "k")}, []string{"has no name"}},
		"an empty key":                {[]*wire.RoutedCustomer{{Name: "a", KeyDigests: [][]byte{nil}}}, []string{"a key is empty"}},
		"an unknown unit":             {[]*wire.RoutedCustomer{limited(customer("a"), 0, 1, 1, 0)}, []string{"unit"}},
		"a rate and a burst below 0":  {[]*wire.RoutedCustomer{limited(customer("a"), tokens, -1, -1, 0)}, []string{"rate", "burst"}},
		"a rate without an end":       {[]*wire.RoutedCustomer{limited(customer("a"), tokens, math.Inf(1), 1, 0)}, []string{"rate"}},
		"a size that is not a number": {[]*wire.RoutedCustomer{limited(customer("a"), tokens, 1, 1, math.NaN())}, []string{"size"}},
		"several":                     {[]*wire.RoutedCustomer{customer("a", "k"), limited(customer("a", "k"), 0, -1, 1, 0)}, []string{"listed twice", "unit", "rate"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			faults := Faults(customers(test.customers...))
			c.Assert(faults, qt.HasLen, len(test.want), qt.Commentf("%q", faults))
			for i, want := range test.want {
				c.Check(strings.Contains(faults[i], want), qt.IsTrue, qt.Commentf("%s", faults[i]))
			}
		})
	}
}

func BenchmarkCustomerByKey(b *testing.B) {
	var list []*wire.RoutedCustomer
	for i := range 500 {
		var keys []string
		for k := range 4 {
			keys = append(keys, fmt.Sprintf("asnmgkcuyj8pj-%03d-%d", i, k))
		}
		list = append(list, customer(fmt.Sprint("c", i), keys...))
	}
	m := New(customers(list...))
	b.ReportAllocs()
	for b.Loop() {
		if m.CustomerByKey("asnmgkcuyj8pj-250-2") == nil {
			b.Fatal("the key is not known")
		}
	}
}
