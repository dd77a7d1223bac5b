package raftdriver

import (
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/replicator"
	"bronzelead.example/pkg/storer"
)

// carryOut does what the replicator asks for until it asks for nothing more.
func (k *Driver) carryOut() error {
	for {
		rd := k.take()
		if rd.Empty() {
			return nil
		}
		err := k.persist(rd)
		if storer.IsFull(err) {
			k.hold(rd, err)
			return nil
		}
		if err != nil {
			return err
		}
		k.Send(k.Replicator.Configuration(), rd.Messages)
		k.passOn(rd)
	}
}

// take returns what is to be done next: what was held first.
func (k *Driver) take() *replicator.Ready {
	if rd := k.held; rd != nil {
		k.held = nil
		return rd
	}
	rd := k.Replicator.TakeReady()
	return &rd
}

// heldEvery is the time between two tries to store while the disk is full.
const heldEvery = 200 * time.Millisecond

func (k *Driver) hold(rd *replicator.Ready, err error) {
	if k.heldAgain.IsZero() {
		k.Log.Error("the disk is full; this member waits", "Error", err.Error())
	}
	k.held = rd
	k.heldAgain = k.Clock.Now().Add(heldEvery)
	k.failWaiting()
}

func (k *Driver) persist(rd *replicator.Ready) error {
	if rd.Snapshot != nil {
		if err := k.Storer.SaveSnapshot(rd.Snapshot, nil); err != nil {
			return errors.Wrap(err, "keeper")
		}
	}
	if err := k.Storer.Append(rd.HardState, rd.Entries); err != nil {
		return errors.Wrap(err, "keeper")
	}
	if !k.heldAgain.IsZero() {
		k.Log.Info("the disk takes data again")
		k.heldAgain = time.Time{}
	}
	if n := len(rd.Entries); n > 0 {
		k.Replicator.Synced(rd.Entries[n-1].GetIndex())
	}
	return nil
}

func (k *Driver) passOn(rd *replicator.Ready) {
	if rd.Snapshot != nil {
		k.backlog = append(k.backlog, CommittedBatch{Restore: rd.Snapshot})
	}
	if len(rd.Committed) > 0 {
		item := CommittedBatch{Entries: make([]CommittedEntry, len(rd.Committed))}
		for i, e := range rd.Committed {
			item.Entries[i] = CommittedEntry{Entry: e, Reply: k.replyTo(e)}
		}
		k.backlog = append(k.backlog, item)
	}
	if k.Replicator.Role() != replicator.Leader {
		k.failWaiting()
	}
}
