package routecoordinator

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/wire"
)

// maxRecentTables is how many of the latest tables are kept, as gateways may have any of them.
const maxRecentTables = 8

// rememberTable keeps a table that came into force.
func (c *Coordinator) rememberTable(table *wire.RoutingTable) {
	c.recentTables = append(c.recentTables, table)
	if len(c.recentTables) > maxRecentTables {
		c.recentTables = slices.Delete(c.recentTables, 0, 1)
	}
}

// FetchTable returns a part of the table that may be sent to gateways. Tables are packed outside of the coordinator's
// goroutine.
func (c *Coordinator) FetchTable(ctx context.Context, req *wire.FetchTableRequest) (*wire.FetchTableResponse, error) {
	var newest *wire.RoutingTable
	var recent []*wire.RoutingTable
	err := c.Call(ctx, func(time.Time) { newest, recent = c.table(), slices.Clone(c.recentTables) })
	if err != nil || newest == nil {
		return &wire.FetchTableResponse{}, err
	}
	c.tablesMu.Lock()
	defer c.tablesMu.Unlock()
	for _, table := range append(recent, newest) {
		c.tables.Add(table)
	}
	res, err := c.tables.Answer(req)
	return res, errors.Wrap(err, "routecoordinator: fetch table")
}
