package tabletransmitter_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"bronzelead.example/pkg/tabletransmitter"
	"bronzelead.example/pkg/wire"
)

// table returns a table of a number of routes; those with the numbers in other lead to another service.
func table(version uint64, routes int, other ...int) *wire.RoutingTable {
	t := &wire.RoutingTable{Version: version, Services: []*wire.RoutedService{{Name: "a"}, {Name: "b"}}}
	for i := range routes {
		t.Routes = append(t.Routes, &wire.Route{
			Name: fmt.Sprintf("r-%x", i*7919), Host: fmt.Sprintf("h%x.example", i*104729), PathPrefix: fmt.Sprintf("/p%x/", i*1299709),
			TimeoutMs: 4000, Shares: []*wire.Share{{Service: "a", Weight: 100}},
		})
	}
	for _, i := range other {
		t.Routes[i].Shares[0].Service = "b"
	}
	return t
}

// receive brings the newest table from a source to a receiver with a base, and returns the bytes of its parts.
func receive(c *qt.C, s *tabletransmitter.Source, base *wire.RoutingTable) (*wire.RoutingTable, int) {
	var t tabletransmitter.Transfer
	sum := 0
	for {
		res, err := s.Answer(t.Request(base.GetVersion()))
		c.Assert(err, qt.IsNil)
		sum += len(res.GetPart())
		complete, err := t.Receive(res)
		c.Assert(err, qt.IsNil)
		if complete {
			received, err := t.Package().Unpack(base)
			c.Assert(err, qt.IsNil)
			return received, sum
		}
	}
}

func routesByName(t *wire.RoutingTable) map[string]string {
	routes := map[string]string{}
	for _, r := range t.GetRoutes() {
		routes[r.GetName()] = r.String()
	}
	return routes
}

// A change costs what it changes, and not the size of the table.
func TestBytesOfChanges(t *testing.T) {
	for name, test := range map[string]struct {
		base, next *wire.RoutingTable
		maxBytes   int
	}{
		"one route of 10":                 {table(1, 10), table(2, 10, 3), 300},
		"one route of 1,400":              {table(1, 1400), table(2, 1400, 3), 300},
		"one route of 20,000":             {table(1, 20000), table(2, 20000, 3), 300},
		"the version alone":               {table(1, 1400), table(2, 1400), 300},
		"1,400 routes more":               {table(1, 49), table(2, 1449), 64 << 10},
		"1,400 routes less":               {table(1, 1449), table(2, 49), 2 << 10},
		"1,400 routes, nothing before":    {nil, table(2, 1400), 64 << 10},
		"the base is not known any more":  {table(0, 1400), table(2, 1400), 64 << 10},
		"all routes lead somewhere else":  {table(1, 3, 0, 1, 2), table(2, 3), 500},
		"an empty table, nothing before":  {nil, table(2, 0), 200},
		"an empty table after one of 100": {table(1, 100), table(2, 0), 200},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var s tabletransmitter.Source
			if test.base != nil {
				s.Add(test.base)
			}
			s.Add(test.next)
			received, sum := receive(c, &s, test.base)
			c.Check(routesByName(received), qt.DeepEquals, routesByName(test.next))
			c.Check(received.GetVersion(), qt.Equals, uint64(2))
			c.Check(sum <= test.maxBytes, qt.IsTrue, qt.Commentf("%d bytes", sum))
		})
	}
}

// A receiver gets the newest table whatever it has, from sources that know other tables, of which some fail, while
// versions come; and it receives no part twice from sources that have the same package.
func TestTablesArriveFromAnySources(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sources := make([]tabletransmitter.Source, rapid.IntRange(1, 4).Draw(rt, "sources"))
		for i := range sources {
			sources[i].PartBytes = 100
		}
		var latest, held *wire.RoutingTable
		var transfer tabletransmitter.Transfer
		put := func() {
			latest = table(latest.GetVersion()+1+rapid.Uint64Range(0, 2).Draw(rt, "step"), rapid.IntRange(0, 40).Draw(rt, "routes"))
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, 39), 0, 20).Draw(rt, "other") {
				if i < len(latest.GetRoutes()) {
					latest.Routes[i].Shares = []*wire.Share{{Service: "b", Weight: 1}}
				}
			}
			for i := range sources {
				if rapid.Bool().Draw(rt, "knows") {
					sources[i].Add(latest)
				}
			}
		}
		ask := func(i int, lost bool) {
			res, err := sources[i].Answer(transfer.Request(held.GetVersion()))
			if err != nil {
				rt.Fatal(err)
			}
			if lost {
				return
			}
			complete, err := transfer.Receive(res)
			if err != nil {
				rt.Fatal(err)
			}
			if !complete {
				return
			}
			p := transfer.Package()
			received, err := p.Unpack(held)
			if err != nil {
				rt.Fatal(err)
			}
			if received.GetVersion() < held.GetVersion() {
				return
			}
			held = received
		}
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			if rapid.IntRange(0, 9).Draw(rt, "event") == 0 || latest == nil {
				put()
				continue
			}
			ask(rapid.IntRange(0, len(sources)-1).Draw(rt, "source"), rapid.IntRange(0, 4).Draw(rt, "lost") == 0)
		}
		sources[0].Add(latest)
		for range 128 {
			ask(0, false)
		}
		if held.GetVersion() != latest.GetVersion() {
			rt.Fatalf("version %d is held, not %d", held.GetVersion(), latest.GetVersion())
		}
		got, want := routesByName(held), routesByName(latest)
		if len(got) != len(want) {
			rt.Fatalf("%d routes are held, not %d", len(got), len(want))
		}
		for name := range want {
			if got[name] != want[name] {
				rt.Fatalf("route %s is %s, not %s", name, got[name], want[name])
			}
		}
	})
}

// A transfer goes on at another source, also while a newer table is there.
func TestTransferContinuesAtAnotherSource(t *testing.T) {
	c := qt.New(t)
	a, b := tabletransmitter.Source{PartBytes: 1000}, tabletransmitter.Source{PartBytes: 1000}
	a.Add(table(1, 500))
	b.Add(table(1, 500))
	var transfer tabletransmitter.Transfer
	sum, requests := 0, 0
	for complete := false; !complete; requests++ {
		source := &a
		if requests%2 == 1 {
			source = &b
		}
		res, err := source.Answer(transfer.Request(0))
		c.Assert(err, qt.IsNil)
		sum += len(res.GetPart())
		complete, err = transfer.Receive(res)
		c.Assert(err, qt.IsNil)
		a.Add(table(uint64(requests+2), 10))
	}
	c.Check(requests > 2, qt.IsTrue)
	p := transfer.Package()
	c.Check(len(p.Data), qt.Equals, sum)
	received, err := p.Unpack(nil)
	c.Assert(err, qt.IsNil)
	c.Check(received.GetVersion(), qt.Equals, uint64(1))
}

// What does not fit is refused as a whole.
func TestPackagesThatDoNotFit(t *testing.T) {
	base, next := table(1, 100), table(2, 100, 7)
	p, err := tabletransmitter.Pack(next, base)
	qt.New(t).Assert(err, qt.IsNil)
	other := table(1, 100, 50)
	for name, test := range map[string]struct {
		change func(p *tabletransmitter.Package)
		base   *wire.RoutingTable
		want   tabletransmitter.Kind
	}{
		"it fits":                       {func(*tabletransmitter.Package) {}, base, 0},
		"the base is missing":           {func(*tabletransmitter.Package) {}, nil, tabletransmitter.KindBase},
		"the base has another version":  {func(*tabletransmitter.Package) {}, table(3, 100), tabletransmitter.KindBase},
		"the base has other content":    {func(*tabletransmitter.Package) {}, other, tabletransmitter.KindBase},
		"a byte has changed":            {func(p *tabletransmitter.Package) { p.Data[9] ^= 1 }, base, tabletransmitter.KindCorrupt},
		"its end is missing":            {func(p *tabletransmitter.Package) { p.Data = p.Data[:20] }, base, tabletransmitter.KindCorrupt},
		"it is said to be of a version": {func(p *tabletransmitter.Package) { p.Version = 9 }, base, tabletransmitter.KindBase},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			changed := *p
			changed.Data = append([]byte(nil), p.Data...)
			test.change(&changed)
			got, err := changed.Unpack(test.base)
			c.Check(tabletransmitter.KindOf(err), qt.Equals, test.want)
			c.Check(got != nil, qt.Equals, err == nil)
		})
	}
}

// A receiver whose base differs from the sender's, under one version, requests the complete table.
func TestCompleteTableReplacesADifferentBase(t *testing.T) {
	c := qt.New(t)
	var s tabletransmitter.Source
	s.Add(table(1, 100))
	s.Add(table(2, 100, 7))
	transfer := tabletransmitter.Transfer{Complete: true}
	res, err := s.Answer(transfer.Request(1))
	c.Assert(err, qt.IsNil)
	complete, err := transfer.Receive(res)
	c.Assert(err, qt.IsNil)
	c.Assert(complete, qt.IsTrue)
	received, err := transfer.Package().Unpack(table(1, 100, 50))
	c.Assert(err, qt.IsNil)
	c.Check(routesByName(received), qt.DeepEquals, routesByName(table(2, 100, 7)))
}

// Responses that do not follow are refused, and the transfer begins again.
func TestPartsThatDoNotFollow(t *testing.T) {
	first := &wire.FetchTableResponse{Version: 1, Checksum: []byte("a"), Size: 20, Part: make([]byte, 10)}
	for name, change := range map[string]func(r *wire.FetchTableResponse){
		"a gap":                   func(r *wire.FetchTableResponse) { r.Offset = 11 },
		"a repetition":            func(r *wire.FetchTableResponse) { r.Offset = 9 },
		"beyond the size":         func(r *wire.FetchTableResponse) { r.Offset, r.Part = 10, make([]byte, 11) },
		"nothing":                 func(r *wire.FetchTableResponse) { r.Offset, r.Part = 10, nil },
		"another size":            func(r *wire.FetchTableResponse) { r.Offset, r.Size = 10, 30 },
		"another package's":       func(r *wire.FetchTableResponse) { r.Offset, r.Checksum = 10, []byte("b") },
		"too large to be a table": func(r *wire.FetchTableResponse) { r.Size = 1 << 30 },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var transfer tabletransmitter.Transfer
			_, err := transfer.Receive(first)
			c.Assert(err, qt.IsNil)
			res := proto.CloneOf(first)
			change(res)
			_, err = transfer.Receive(res)
			c.Check(tabletransmitter.KindOf(err), qt.Equals, tabletransmitter.KindCorrupt)
			c.Check(transfer.Request(0).GetOffset(), qt.Equals, uint32(0))
		})
	}
}

func FuzzUnpack(f *testing.F) {
	base := table(1, 20)
	p, err := tabletransmitter.Pack(table(2, 20, 7), base)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(p.Data)
	f.Fuzz(func(t *testing.T, data []byte) {
		changed := &tabletransmitter.Package{Version: 2, Base: 1, Data: data, Checksum: p.Checksum}
		if got, err := changed.Unpack(base); err == nil && got.GetVersion() != 2 {
			t.Fatal("another version")
		}
	})
}

func BenchmarkUnpack(b *testing.B) {
	for _, routes := range []int{1400, 20000} {
		base, next := table(1, routes), table(2, routes, 7)
		for name, from := range map[string]*wire.RoutingTable{"complete": nil, "one route": base} {
			p, err := tabletransmitter.Pack(next, from)
			if err != nil {
				b.Fatal(err)
			}
			b.Run(fmt.Sprintf("%s of %d", name, routes), func(b *testing.B) {
				for b.Loop() {
					if _, err := p.Unpack(from); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(p.Data)), "bytes")
			})
		}
	}
}

func BenchmarkPack(b *testing.B) {
	for _, routes := range []int{1400, 20000} {
		base, next := table(1, routes), table(2, routes, 7)
		for name, from := range map[string]*wire.RoutingTable{"complete": nil, "one route": base} {
			b.Run(fmt.Sprintf("%s of %d", name, routes), func(b *testing.B) {
				for b.Loop() {
					if _, err := tabletransmitter.Pack(next, from); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
