// Package tabletransmitter brings routing tables from one process to another, in parts of a bounded size: as what
// differs from the table that the receiver has, compressed, and checked against a checksum of the complete table.
// It is pure: requests and responses come and go with calls that others make.
package tabletransmitter

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"io"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

const (
	// maxPackageBytes and maxUnpackedBytes bound what is received and unpacked. A document of an operator has
	// 4 MiB at most, and is larger than its table.
	maxPackageBytes  = 16 << 20
	maxUnpackedBytes = 64 << 20
)

// Package is a packed table, or a packed difference between two.
type Package struct {
	// Version is that of the table, and Base that of the table that it is a difference from; 0 if it is complete.
	Version, Base uint64
	// Checksum is the SHA-256 of Data.
	Checksum []byte
	Data     []byte
}

// routeKey identifies a route within a table: no two have the same host and prefix.
type routeKey struct{ host, prefix string }

func keyOf(r *wire.Route) routeKey {
	return routeKey{strings.ToLower(r.GetHost()), r.GetPathPrefix()}
}

func compareKeys(a, b routeKey) int {
	if c := strings.Compare(a.host, b.host); c != 0 {
		return c
	}
	return strings.Compare(a.prefix, b.prefix)
}

var deterministic = proto.MarshalOptions{Deterministic: true}

// encodedRoutes returns the encoding of each route of a table.
func encodedRoutes(table *wire.RoutingTable) (map[routeKey][]byte, error) {
	encoded := make(map[routeKey][]byte, len(table.GetRoutes()))
	for _, r := range table.GetRoutes() {
		b, err := deterministic.Marshal(r)
		if err != nil {
			return nil, fail("encode", KindPacking, "route %q: %v", r.GetName(), err)
		}
		encoded[keyOf(r)] = b
	}
	return encoded, nil
}

// withoutRoutes returns a table without its routes.
func withoutRoutes(table *wire.RoutingTable) *wire.RoutingTable {
	return &wire.RoutingTable{
		Version: table.GetVersion(), Services: table.GetServices(), Limits: table.GetLimits(),
		Customers: table.GetCustomers(), KeysRequired: table.GetKeysRequired(),
	}
}

// checksum returns the SHA-256 of a table, whatever the order of its routes.
func checksum(table *wire.RoutingTable, routes map[routeKey][]byte) ([]byte, error) {
	rest, err := deterministic.Marshal(withoutRoutes(table))
	if err != nil {
		return nil, fail("checksum", KindPacking, "%v", err)
	}
	keys := make([]routeKey, 0, len(routes))
	for key := range routes {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	sum := sha256.New()
	_, _ = sum.Write(rest)
	for _, key := range keys {
		_, _ = sum.Write(routes[key])
	}
	return sum.Sum(nil), nil
}

// Pack packs a table, as a difference from a base if there is one and that is shorter.
func Pack(table, base *wire.RoutingTable) (*Package, error) {
	routes, err := encodedRoutes(table)
	if err != nil {
		return nil, err
	}
	sum, err := checksum(table, routes)
	if err != nil {
		return nil, err
	}
	content := &wire.TablePackage{Table: table, TableChecksum: sum}
	baseVersion := uint64(0)
	if base != nil {
		known, err := encodedRoutes(base)
		if err != nil {
			return nil, err
		}
		changed, removed := difference(table, routes, known)
		if len(changed)+len(removed) < len(table.GetRoutes()) {
			content.Table, content.Removed, baseVersion = withoutRoutes(table), removed, base.GetVersion()
			content.Table.Routes = changed
		}
	}
	encoded, err := deterministic.Marshal(content)
	if err != nil {
		return nil, fail("pack", KindPacking, "%v", err)
	}
	data := compress(encoded)
	dataSum := sha256.Sum256(data)
	return &Package{Version: table.GetVersion(), Base: baseVersion, Checksum: dataSum[:], Data: data}, nil
}

// difference returns the routes of a table that are not the same in a base, and the keys of those that only the base has.
func difference(table *wire.RoutingTable, routes, base map[routeKey][]byte) (changed []*wire.Route, removed []*wire.RouteKey) {
	for _, r := range table.GetRoutes() {
		key := keyOf(r)
		if earlier, ok := base[key]; !ok || !bytes.Equal(earlier, routes[key]) {
			changed = append(changed, r)
		}
	}
	for key := range base {
		if _, ok := routes[key]; !ok {
			removed = append(removed, &wire.RouteKey{Host: key.host, PathPrefix: key.prefix})
		}
	}
	slices.SortFunc(removed, func(a, b *wire.RouteKey) int {
		return compareKeys(routeKey{a.GetHost(), a.GetPathPrefix()}, routeKey{b.GetHost(), b.GetPathPrefix()})
	})
	return changed, removed
}

func compress(data []byte) []byte {
	var packed bytes.Buffer
	// The level is valid, and writes to a buffer do not fail.
	w, _ := flate.NewWriter(&packed, flate.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return packed.Bytes()
}

// Unpack returns the table of a package. The base is the table that the receiver has; nil is none. The result shares the
// routes that are the same.
func (p *Package) Unpack(base *wire.RoutingTable) (*wire.RoutingTable, error) {
	if sum := sha256.Sum256(p.Data); !bytes.Equal(sum[:], p.Checksum) {
		return nil, fail("unpack", KindCorrupt, "the checksum of %d bytes differs", len(p.Data))
	}
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), maxUnpackedBytes+1))
	if err != nil || len(encoded) > maxUnpackedBytes {
		return nil, fail("unpack", KindCorrupt, "%d bytes can't be unpacked: %v", len(p.Data), err)
	}
	content := &wire.TablePackage{}
	if err := proto.Unmarshal(encoded, content); err != nil {
		return nil, fail("unpack", KindCorrupt, "%v", err)
	}
	table := content.GetTable()
	if table.GetVersion() != p.Version || p.Base != 0 && p.Base != base.GetVersion() {
		return nil, fail("unpack", KindBase, "version %d from %d can't follow %d", p.Version, p.Base, base.GetVersion())
	}
	if p.Base != 0 {
		table.Routes = merge(base.GetRoutes(), table.GetRoutes(), content.GetRemoved())
	}
	routes, err := encodedRoutes(table)
	if err != nil {
		return nil, err
	}
	sum, err := checksum(table, routes)
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(sum, content.GetTableChecksum()) || len(routes) != len(table.GetRoutes()) {
		return nil, fail("unpack", KindBase, "version %d from %d is another table", p.Version, p.Base)
	}
	return table, nil
}

// merge returns the routes of a base with those that have changed, and without those that were removed.
func merge(base, changed []*wire.Route, removed []*wire.RouteKey) []*wire.Route {
	replaced := make(map[routeKey]bool, len(changed)+len(removed))
	for _, r := range changed {
		replaced[keyOf(r)] = true
	}
	for _, key := range removed {
		replaced[routeKey{key.GetHost(), key.GetPathPrefix()}] = true
	}
	merged := make([]*wire.Route, 0, len(base)+len(changed))
	for _, r := range base {
		if !replaced[keyOf(r)] {
			merged = append(merged, r)
		}
	}
	return append(merged, changed...)
}
