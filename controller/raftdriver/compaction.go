package raftdriver

import (
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/storer"
	"bronzelead.example/pkg/wire"
)

// Compact replaces the log up to an index by a snapshot of the state there. The
// snapshot is written by the caller's goroutine, since a large one would hold up
// heartbeats; only the renaming and the new log are the keeper's.
func (k *Driver) Compact(index uint64, state []byte) {
	s := &wire.Snapshot{Index: index, State: state}
	described := make(chan bool, 1)
	k.request(func(time.Time) { described <- k.Replicator.FillMetadata(s) })
	select {
	case ok := <-described:
		if !ok {
			return
		}
	case <-k.ended:
		return
	}
	pending, err := k.Storer.PrepareSnapshot(s)
	if storer.IsFull(err) {
		k.Log.Warn("there is no room for a snapshot; the log stays as it is", "Error", err.Error())
		return
	}
	if err != nil {
		k.request(func(time.Time) { k.fatal = errors.Wrap(err, "keeper") })
		return
	}
	k.request(func(time.Time) {
		if err := k.Replicator.Compact(s); err != nil {
			// A leader's snapshot came first.
			pending.Discard()
			return
		}
		err := k.Storer.CommitSnapshot(pending, k.Replicator.StoredEntries())
		if storer.IsFull(err) {
			// The old log still holds all that follows the snapshot.
			k.Log.Warn("there is no room for a new log beside the snapshot", "Error", err.Error())
			return
		}
		if err != nil {
			k.fatal = errors.Wrap(err, "keeper")
		}
	})
}
