package tabletransmitter

import (
	"bytes"
	"cmp"

	"bronzelead.example/pkg/wire"
)

const (
	// defaultPartBytes is the size of a part of a package. At 16 receivers behind a link of 10 Mbit/s one part for each
	// takes 0.2 s.
	defaultPartBytes = 16 << 10
	// maxTables is the number of tables that are kept as bases of differences, with at most maxRoutes routes but for the
	// newest.
	maxTables = 8
	maxRoutes = 60_000
	// maxPackages is the number of packages that are kept for transfers under way.
	maxPackages = 8
)

// Source answers requests for the newest table. The zero value has none.
type Source struct {
	// PartBytes is the size of a part of a package; 0 is 16 KiB.
	PartBytes int

	// tables are in the order of their versions.
	tables []*wire.RoutingTable
	// packages are in the order in which they were used last.
	packages []packed
}

// packed is a package for those that have the table of a version. It may be complete nonetheless.
type packed struct {
	*Package
	receiver uint64
}

// Add adds a table, which must not change any more. Only a version higher than all before counts.
func (s *Source) Add(table *wire.RoutingTable) {
	if table.GetVersion() <= s.newest().GetVersion() {
		return
	}
	s.tables = append(s.tables, table)
	routes := 0
	for _, t := range s.tables {
		routes += len(t.GetRoutes())
	}
	for len(s.tables) > 1 && (len(s.tables) > maxTables || routes > maxRoutes) {
		routes -= len(s.tables[0].GetRoutes())
		s.tables[0] = nil
		s.tables = s.tables[1:]
	}
}

func (s *Source) newest() *wire.RoutingTable {
	if len(s.tables) == 0 {
		return nil
	}
	return s.tables[len(s.tables)-1]
}

// Adopt adds a package that was received, so that it need not be packed again.
func (s *Source) Adopt(p *Package) { s.keep(packed{p, p.Base}) }

func (s *Source) keep(p packed) {
	s.packages = append(s.packages, p)
	if len(s.packages) > maxPackages {
		s.packages[0] = packed{}
		s.packages = s.packages[1:]
	}
}

// Answer returns the next part of the requested package, or the first one of the package that leads from the caller's
// table to the newest.
func (s *Source) Answer(req *wire.FetchTableRequest) (*wire.FetchTableResponse, error) {
	p := s.find(func(p packed) bool { return len(req.GetChecksum()) > 0 && bytes.Equal(p.Checksum, req.GetChecksum()) })
	if p == nil {
		var err error
		if p, err = s.newestFor(req.GetBaseVersion()); p == nil || err != nil {
			return &wire.FetchTableResponse{}, err
		}
	}
	offset := 0
	if bytes.Equal(p.Checksum, req.GetChecksum()) && int(req.GetOffset()) < len(p.Data) {
		offset = int(req.GetOffset())
	}
	end := min(len(p.Data), offset+cmp.Or(s.PartBytes, defaultPartBytes))
	return &wire.FetchTableResponse{
		Version: p.Version, BaseVersion: p.Base, Checksum: p.Checksum, Size: uint32(len(p.Data)), Offset: uint32(offset), Part: p.Data[offset:end],
	}, nil
}

// find returns a package, and keeps it for longer.
func (s *Source) find(matches func(p packed) bool) *Package {
	for i, p := range s.packages {
		if matches(p) {
			copy(s.packages[i:], s.packages[i+1:])
			s.packages[len(s.packages)-1] = p
			return p.Package
		}
	}
	return nil
}

// newestFor returns the package that leads from a version to the newest table; nil if that is no later one.
func (s *Source) newestFor(base uint64) (*Package, error) {
	newest := s.newest()
	if newest.GetVersion() <= base {
		return nil, nil
	}
	var from *wire.RoutingTable
	for _, t := range s.tables[:len(s.tables)-1] {
		if t.GetVersion() == base {
			from = t
		}
	}
	known := s.find(func(p packed) bool {
		return p.Version == newest.GetVersion() && p.receiver == from.GetVersion()
	})
	if known != nil {
		return known, nil
	}
	p, err := Pack(newest, from)
	if err != nil {
		return nil, err
	}
	s.keep(packed{p, from.GetVersion()})
	return p, nil
}
