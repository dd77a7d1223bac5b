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
	// done gets the result or the error, once. It must not block.
	done func(applier.Result, error)
}

// Start proposes a command and calls done, once, with what it led to.
func (k *Driver) Start(cmd *wire.Command, done func(applier.Result, error)) {
	cmd.AtNs = k.Clock.Now().UnixNano()
	data, err := proto.Marshal(cmd)
	if err != nil {
		done(applier.Result{}, errors.Wrap(err, "keeper"))
		return
	}
	select {
	case k.proposals <- proposal{data: data, done: done}:
	default:
		done(applier.Result{}, ErrBusy)
	}
}

// Propose proposes a command and waits for what it led to.
func (k *Driver) Propose(ctx context.Context, cmd *wire.Command) (applier.Result, error) {
	type answer struct {
		result applier.Result
		err    error
	}
	answers := make(chan answer, 1)
	k.Start(cmd, func(result applier.Result, err error) { answers <- answer{result, err} })
	select {
	case a := <-answers:
		return a.result, a.err
	case <-ctx.Done():
		return applier.Result{}, errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	}
}

func (k *Driver) propose(p proposal) {
	if k.held != nil {
		p.done(applier.Result{}, ErrNotLeader)
		return
	}
	index, err := k.Replicator.Propose(p.data)
	if err != nil {
		p.done(applier.Result{}, ErrNotLeader)
		return
	}
	p.term = k.Replicator.Term()
	k.waiting[index] = p
}

// replyTo finds who waits for an entry. An entry of another term in the same place
// means that the proposal was lost.
func (k *Driver) replyTo(e *wire.Entry) func(applier.Result) {
	p, ok := k.waiting[e.GetIndex()]
	if !ok {
		return nil
	}
	delete(k.waiting, e.GetIndex())
	if p.term != e.GetTerm() {
		p.done(applier.Result{}, ErrOutcomeUnknown)
		return nil
	}
	return func(result applier.Result) { p.done(result, nil) }
}

func (k *Driver) failWaiting() {
	for index, p := range k.waiting {
		p.done(applier.Result{}, ErrOutcomeUnknown)
		delete(k.waiting, index)
	}
}
