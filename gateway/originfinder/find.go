package originfinder

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"bronzelead.example/pkg/originrecorder"
	"bronzelead.example/pkg/ranker"
	"bronzelead.example/pkg/wire"
)

// Result is what was found of the origin of a stream.
type Result struct {
	Origin    originrecorder.Origin
	Knowledge originrecorder.Knowledge
	// Source is the gateway or the controller that knew it; "" is this gateway.
	Source string
	// OfController is set if the source is a controller.
	OfController bool
	// Unanswered is the number of gateways and controllers that did not answer. An origin that is unknown may be
	// known to them.
	Unanswered int
	// Took is how long it took.
	Took time.Duration
}

// reply is the reply of one gateway or controller.
type reply struct {
	peer
	res *wire.FindOriginResponse
	err error
}

// Find looks up the origin of a stream that began with a caller's attempt, here and at the gateways and
// controllers that follow from its id.
func (f *Finder) Find(ctx context.Context, attempt string) Result { return f.find(ctx, attempt, true) }

// FindAtGateways is Find without controllers.
func (f *Finder) FindAtGateways(ctx context.Context, attempt string) Result {
	return f.find(ctx, attempt, false)
}

func (f *Finder) find(ctx context.Context, attempt string, askControllers bool) Result {
	began := f.Clock.Now()
	key := originrecorder.KeyOf(attempt)
	if origin, knowledge := f.receiver.Find(key); knowledge != originrecorder.Unknown {
		return Result{Origin: origin, Knowledge: knowledge}
	}
	result := f.ask(ctx, key, f.listed(ctx), askControllers && f.Controllers != nil)
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

// ask asks the gateways that follow from a stream's id, and those again that do not answer. Once none knows the
// stream it asks controllers too, which are few and serve all gateways.
func (f *Finder) ask(ctx context.Context, key originrecorder.Key, listed []*wire.GatewayEntry, askControllers bool) (result Result) {
	remaining := peersOf(key, f.others(listed), false)
	// A gateway without the list can't know whom to ask.
	unlisted := 0
	if len(listed) == 0 {
		unlisted++
	}
	for round := range maxRounds {
		if round == 1 && askControllers {
			controllers := f.Controllers()
			if len(controllers) == 0 {
				unlisted++
			}
			remaining = append(remaining, peersOf(key, controllers, true)...)
		}
		if round > 0 && len(remaining) == 0 || result.Knowledge != originrecorder.Unknown || ctx.Err() != nil {
			break
		}
		result, remaining = f.askAll(ctx, key, remaining)
	}
	if result.Knowledge == originrecorder.Unknown {
		result.Unanswered = len(remaining) + unlisted
	}
	return result
}

// peer is a gateway or a controller that may know an origin.
type peer struct {
	address    string
	controller bool
}

// peersOf returns those that follow from a stream's id.
func peersOf(key originrecorder.Key, addresses []string, controllers bool) []peer {
	var list []peer
	for _, address := range ranker.Top(addresses, string(key[:]), Asked) {
		list = append(list, peer{address, controllers})
	}
	return list
}

// askAll asks gateways and controllers at the same time, and waits for all of them or the timeout: an id whose origins
// differ has none, whichever answer comes first. It returns those that did not answer.
func (f *Finder) askAll(ctx context.Context, key originrecorder.Key, peers []peer) (result Result, failed []peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan reply, len(peers))
	for _, p := range peers {
		go func() {
			res, err := f.Client(p.address).FindOrigin(ctx, &wire.FindOriginRequest{Key: key[:]})
			replies <- reply{p, res, err}
		}()
	}
	for range peers {
		r := <-replies
		switch {
		case errors.Is(r.err, syscall.ECONNREFUSED), isUnknownCall(r.err):
			// Its process has ended, and with it what it remembered; or it is of a release in which controllers
			// remember no origins.
		case r.err != nil:
			failed = append(failed, r.peer)
		default:
			result = result.merge(r.result())
		}
	}
	return result, failed
}

func isUnknownCall(err error) bool {
	var failure twirp.Error
	return errors.As(err, &failure) && failure.Code() == twirp.BadRoute
}

// result returns what a reply says of an origin.
func (r *reply) result() Result {
	switch r.res.GetKnowledge() {
	case wire.OriginKnowledge_ORIGIN_KNOWLEDGE_KNOWN:
		o := r.res.GetOrigin()
		return Result{
			Origin:    originrecorder.Origin{Service: o.GetService(), SoftwareVersion: o.GetSoftwareVersion()},
			Knowledge: originrecorder.Known, Source: r.address, OfController: r.controller,
		}
	case wire.OriginKnowledge_ORIGIN_KNOWLEDGE_AMBIGUOUS:
		return Result{Knowledge: originrecorder.Ambiguous, Source: r.address, OfController: r.controller}
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
		return Result{Knowledge: originrecorder.Ambiguous, Source: other.Source, OfController: other.OfController}
	case r.Knowledge == originrecorder.Known && other.Knowledge == originrecorder.Known:
		return r
	default:
		return other
	}
}
