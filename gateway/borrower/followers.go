package borrower

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/wire"
)

// followers are the calls of gateways that follow this one. One call at a time goes on to the
// leader, with all that have come meanwhile: with hundreds of gateways it could not answer
// each by itself.
type followers struct {
	mu      sync.Mutex
	waiting []*followerCall
	// passing is set while a call is under way.
	passing bool
}

type followerCall struct {
	borrowers []*wire.Borrower
	// end takes the end of the call, once. It has room for it.
	end chan followerEnd
}

type followerEnd struct {
	res *wire.BorrowResponse
	err error
}

// Borrow passes the call of a gateway on that follows this one.
func (b *Borrower) Borrow(ctx context.Context, req *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	call := &followerCall{borrowers: req.GetBorrowers(), end: make(chan followerEnd, 1)}
	b.enter(call)
	select {
	case end := <-call.end:
		return end.res, end.err
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "borrower: pass a call on")
	}
}

// enter lets a call wait to be passed on, which outlives it: others wait for the same answer.
func (b *Borrower) enter(call *followerCall) {
	f := &b.followers
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting = append(f.waiting, call)
	if !f.passing {
		f.passing = true
		go b.passOn()
	}
}

// passOn passes calls on until none waits.
func (b *Borrower) passOn() {
	f := &b.followers
	for {
		f.mu.Lock()
		calls := f.waiting
		f.waiting = nil
		f.passing = len(calls) > 0
		f.mu.Unlock()
		if len(calls) == 0 {
			return
		}
		req := &wire.BorrowRequest{}
		for _, call := range calls {
			req.Borrowers = append(req.Borrowers, call.borrowers...)
		}
		res, err := b.call(context.Background(), req)
		if err == nil && len(res.GetBorrowers()) != len(req.GetBorrowers()) {
			err = errors.Errorf("borrower: %d answers to %d gateways", len(res.GetBorrowers()), len(req.GetBorrowers()))
		}
		endCalls(calls, res, err)
	}
}

// endCalls gives each call its part of an answer.
func endCalls(calls []*followerCall, res *wire.BorrowResponse, err error) {
	from := 0
	for _, call := range calls {
		if err != nil {
			call.end <- followerEnd{err: err}
			continue
		}
		to := from + len(call.borrowers)
		call.end <- followerEnd{res: &wire.BorrowResponse{Borrowers: res.GetBorrowers()[from:to], AgainInMs: res.GetAgainInMs()}}
		from = to
	}
}
