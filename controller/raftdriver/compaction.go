package raftdriver

import (
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/storer"
	"bronzelead.example/pkg/wire"
)

// Compact replaces the log up to an index by a snapshot of the state there. The caller's
// goroutine writes the snapshot, since a large one would delay heartbeats; only the rename and
// the new log are left to the driver's.
func (d *Driver) Compact(index uint64, state []byte) {
	s := &wire.Snapshot{Index: index, State: state}
	described := make(chan bool, 1)
	d.enqueue(func(time.Time) { described <- d.Replicator.FillMetadata(s) })
	select {
	case ok := <-described:
		if !ok {
			return
		}
	case <-d.stopped:
		return
	}
	pending, err := d.Storer.PrepareSnapshot(s)
	if storer.IsFull(err) {
		d.Log.Warn("the disk is full; no snapshot was written and the log is not compacted", "Error", err.Error())
		return
	}
	if err != nil {
		d.enqueue(func(time.Time) { d.fatalErr = errors.Wrap(err, "raftdriver") })
		return
	}
	d.enqueue(func(time.Time) {
		if err := d.Replicator.Compact(s); err != nil {
			// A leader's snapshot was installed first.
			pending.Discard()
			return
		}
		err := d.Storer.CommitSnapshot(pending, d.Replicator.StoredEntries())
		if storer.IsFull(err) {
			// The old log still holds all entries after the snapshot.
			d.Log.Warn("the disk is full; the snapshot was stored but the log is not compacted", "Error", err.Error())
			return
		}
		if err != nil {
			d.fatalErr = errors.Wrap(err, "raftdriver")
		}
	})
}
