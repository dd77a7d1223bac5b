package raftdriver

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/wire"
)

type proposal struct {
	data []byte
	term uint64
	// done receives the result or the error, once. It must not block.
	done func(applier.Result, error)
}

// ProposeAsync proposes a command and calls done, once, with its result.
func (d *Driver) ProposeAsync(cmd *wire.Command, done func(applier.Result, error)) {
	cmd.AtNs = d.Clock.Now().UnixNano()
	data, err := proto.Marshal(cmd)
	if err != nil {
		done(applier.Result{}, errors.Wrap(err, "raftdriver"))
		return
	}
	select {
	case d.proposals <- proposal{data: data, done: done}:
	default:
		done(applier.Result{}, ErrBusy)
	}
}

// Propose proposes a command and waits for its result.
func (d *Driver) Propose(ctx context.Context, cmd *wire.Command) (applier.Result, error) {
	type answer struct {
		result applier.Result
		err    error
	}
	answers := make(chan answer, 1)
	d.ProposeAsync(cmd, func(result applier.Result, err error) { answers <- answer{result, err} })
	select {
	case a := <-answers:
		return a.result, a.err
	case <-ctx.Done():
		return applier.Result{}, errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	}
}

func (d *Driver) propose(p proposal) {
	if d.blockedReady != nil {
		p.done(applier.Result{}, ErrNotLeader)
		return
	}
	index, err := d.Replicator.Propose(p.data)
	if err != nil {
		p.done(applier.Result{}, ErrNotLeader)
		return
	}
	p.term = d.Replicator.Term()
	d.pendingProposals[index] = p
}

// replyFor returns the reply function for an entry, or nil. An entry of another term at the
// same index means that the proposal was lost.
func (d *Driver) replyFor(e *wire.Entry) func(applier.Result) {
	p, ok := d.pendingProposals[e.GetIndex()]
	if !ok {
		return nil
	}
	delete(d.pendingProposals, e.GetIndex())
	if p.term != e.GetTerm() {
		p.done(applier.Result{}, ErrOutcomeUnknown)
		return nil
	}
	return func(result applier.Result) { p.done(result, nil) }
}

func (d *Driver) failPending() {
	for index, p := range d.pendingProposals {
		p.done(applier.Result{}, ErrOutcomeUnknown)
		delete(d.pendingProposals, index)
	}
}
