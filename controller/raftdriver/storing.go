package raftdriver

import (
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/replicator"
	"bronzelead.example/pkg/storer"
)

// processReady does the work that the replicator returns until there is none left.
func (d *Driver) processReady() error {
	for {
		rd := d.nextReady()
		if rd.Empty() {
			return nil
		}
		err := d.persist(rd)
		if storer.IsFull(err) {
			d.waitForDisk(rd, err)
			return nil
		}
		if err != nil {
			return err
		}
		d.Send(d.Replicator.Configuration(), rd.Messages)
		d.forwardCommitted(rd)
	}
}

// nextReady returns the next work: first what could not be stored before.
func (d *Driver) nextReady() *replicator.Ready {
	if rd := d.blockedReady; rd != nil {
		d.blockedReady = nil
		return rd
	}
	rd := d.Replicator.TakeReady()
	return &rd
}

// diskRetryInterval is the time between two attempts to store while the disk is full.
const diskRetryInterval = 200 * time.Millisecond

func (d *Driver) waitForDisk(rd *replicator.Ready, err error) {
	if d.diskRetryAt.IsZero() {
		d.Log.Error("the disk is full; this member pauses until it can write", "Error", err.Error())
	}
	d.blockedReady = rd
	d.diskRetryAt = d.Clock.Now().Add(diskRetryInterval)
	d.failPending()
}

func (d *Driver) persist(rd *replicator.Ready) error {
	if rd.Snapshot != nil {
		if err := d.Storer.SaveSnapshot(rd.Snapshot, nil); err != nil {
			return errors.Wrap(err, "raftdriver")
		}
	}
	if err := d.Storer.Append(rd.HardState, rd.Entries); err != nil {
		return errors.Wrap(err, "raftdriver")
	}
	if !d.diskRetryAt.IsZero() {
		d.Log.Info("the disk accepts writes again")
		d.diskRetryAt = time.Time{}
	}
	if n := len(rd.Entries); n > 0 {
		d.Replicator.Synced(rd.Entries[n-1].GetIndex())
	}
	return nil
}

func (d *Driver) forwardCommitted(rd *replicator.Ready) {
	if rd.Snapshot != nil {
		d.backlog = append(d.backlog, CommittedBatch{Restore: rd.Snapshot})
	}
	if len(rd.Committed) > 0 {
		item := CommittedBatch{Entries: make([]CommittedEntry, len(rd.Committed))}
		for i, e := range rd.Committed {
			item.Entries[i] = CommittedEntry{Entry: e, Reply: d.replyFor(e)}
		}
		d.backlog = append(d.backlog, item)
	}
	if d.Replicator.Role() != replicator.Leader {
		d.failPending()
	}
}
