package originfinder

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/originrecorder"
	"bronzelead.example/pkg/ranker"
	"bronzelead.example/pkg/wire"
)

// Result is what was found of the origin of a stream.
type Result struct {
	Origin    originrecorder.Origin
	Knowledge originrecorder.Knowledge
	// Source is the gateway that knew it; "" is this one.
	Source string
	// Unanswered is the number of gateways that did not answer. An origin that is unknown may be known
	// to them.
	Unanswered int
	// Took is how long it took.
	Took time.Duration
}

// reply is the reply of one gateway.
type reply struct {
	address string
	res     *wire.FindOriginResponse
	err     error
}

// Find looks up the origin of a stream that began with a caller's attempt, here and at the gateways that
// follow from its id.
func (f *Finder) Find(ctx context.Context, attempt string) Result {
	began := f.Clock.Now()
	key := originrecorder.KeyOf(attempt)
	f.mu.Lock()
	origin, knowledge := f.recorder.Find(began, key)
	f.mu.Unlock()
	if knowledge != originrecorder.Unknown {
		return Result{Origin: origin, Knowledge: knowledge}
	}
	result := f.ask(ctx, key, f.listed(ctx))
	result.Took = f.Clock.Since(began)
	return result
}

// listed returns the gateways to ask for a stream, and waits for the list of a gateway that has just
// started.
func (f *Finder) listed(ctx context.Context) []*wire.GatewayEntry {
	for range maxRounds {
		if list := f.Gateways(); len(list) > 0 {
			return list
		}
		select {
		case <-ctx.Done():
		case <-f.Clock.After(callTimeout):
		}
	}
	return f.Gateways()
}

// ask asks the gateways that follow from a stream's id, and those again that do not answer.
func (f *Finder) ask(ctx context.Context, key originrecorder.Key, listed []*wire.GatewayEntry) (result Result) {
	if len(listed) == 0 {
		return Result{Unanswered: 1}
	}
	remaining := ranker.Top(f.others(listed), string(key[:]), Asked)
	for range maxRounds {
		if len(remaining) == 0 || result.Knowledge != originrecorder.Unknown || ctx.Err() != nil {
			break
		}
		result, remaining = f.askAll(ctx, key, remaining)
	}
	return result
}

// askAll asks gateways at the same time, and waits for all of them or the timeout: an id whose origins
// differ has none, whichever answer comes first. It returns the gateways that did not answer.
func (f *Finder) askAll(ctx context.Context, key originrecorder.Key, gateways []string) (result Result, failed []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan reply, len(gateways))
	for _, address := range gateways {
		go func() {
			res, err := f.Client(address).FindOrigin(ctx, &wire.FindOriginRequest{Key: key[:]})
			replies <- reply{address, res, err}
		}()
	}
	for range gateways {
		r := <-replies
		switch {
		case errors.Is(r.err, syscall.ECONNREFUSED):
			// Its process has ended, and with it what it remembered.
		case r.err != nil:
			failed = append(failed, r.address)
		default:
			result = result.merge(r.result())
		}
	}
	if result.Knowledge == originrecorder.Unknown {
		result.Unanswered = len(failed)
	}
	return result, failed
}

// result returns what a reply says of an origin.
func (r *reply) result() Result {
	switch r.res.GetKnowledge() {
	case wire.OriginKnowledge_ORIGIN_KNOWLEDGE_KNOWN:
		o := r.res.GetOrigin()
		return Result{
			Origin:    originrecorder.Origin{Service: o.GetService(), SoftwareVersion: o.GetSoftwareVersion()},
			Knowledge: originrecorder.Known, Source: r.address,
		}
	case wire.OriginKnowledge_ORIGIN_KNOWLEDGE_AMBIGUOUS:
		return Result{Knowledge: originrecorder.Ambiguous, Source: r.address}
	default:
		return Result{}
	}
}

// merge returns what two replies say together.
func (r Result) merge(other Result) Result {
	switch {
	case other.Knowledge == originrecorder.Unknown || r.Knowledge == originrecorder.Ambiguous:
		return r
	case r.Knowledge == originrecorder.Known && other.Knowledge == originrecorder.Known && r.Origin != other.Origin:
		return Result{Knowledge: originrecorder.Ambiguous, Source: other.Source}
	case r.Knowledge == originrecorder.Known && other.Knowledge == originrecorder.Known:
		return r
	default:
		return other
	}
}

// Server serves wire.Origins for the other gateways.
type Server struct {
	Finder *Finder
}

// FindOrigin answers with what this gateway remembers.
func (s *Server) FindOrigin(_ context.Context, req *wire.FindOriginRequest) (*wire.FindOriginResponse, error) {
	key, err := decodeKey(req.GetKey())
	if err != nil {
		return nil, err
	}
	f := s.Finder
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	origin, knowledge := f.recorder.Find(now, key)
	switch knowledge {
	case originrecorder.Ambiguous:
		return &wire.FindOriginResponse{Knowledge: wire.OriginKnowledge_ORIGIN_KNOWLEDGE_AMBIGUOUS}, nil
	case originrecorder.Known:
		return &wire.FindOriginResponse{
			Knowledge: wire.OriginKnowledge_ORIGIN_KNOWLEDGE_KNOWN,
			Origin:    &wire.StreamOrigin{Key: key[:], Service: origin.Service, SoftwareVersion: origin.SoftwareVersion},
		}, nil
	case originrecorder.Unknown:
	}
	return &wire.FindOriginResponse{}, nil
}
