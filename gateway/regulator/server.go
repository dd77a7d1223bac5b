package regulator

import (
	"context"
	"time"

	"bronzelead.example/pkg/pacer"
	"bronzelead.example/pkg/wire"
)

// Server serves wire.Pacing for the other gateways.
type Server struct {
	Regulator *Regulator
}

// Admit returns as soon as the prompt may be sent.
func (s *Server) Admit(ctx context.Context, req *wire.AdmitRequest) (*wire.AdmitResponse, error) {
	r := s.Regulator
	now := r.Clock.Now()
	if req.GetSeen() && r.OnPeerPauses != nil {
		r.OnPeerPauses(req.GetBackend(), req.GetGateway())
	}
	p := &Prompt{Backend: req.GetBackend(), Slots: int(req.GetSlots()), Deadline: now.Add(milliseconds(req.GetGiveUpMs())), HasAlternative: req.GetElsewhere(), Customer: req.GetCustomer(), Brittle: req.GetBrittle(), Gateway: req.GetGateway(), GrantRequest: pacer.GrantRequest{
		Key: req.GetKey(), Tokens: int(req.GetTokens()), Urgency: req.GetUrgency(),
		ReceivedAt: now.Add(-milliseconds(req.GetAgeMs())), OnTimeUntil: now.Add(milliseconds(req.GetInTimeForMs())),
		MaxPause: milliseconds(req.GetPauseMs()), EventInterval: time.Duration(req.GetEventUs()) * time.Microsecond,
	}}
	if p.Slots > 0 {
		// A plain service has no events; the field holds the duration of the latest run.
		p.LastRun, p.EventInterval = p.EventInterval, 0
	}
	result := r.acquireLocally(ctx, p, milliseconds(req.GetWaitMs()))
	return &wire.AdmitResponse{
		Granted: result.Granted, BacklogMs: uint32(result.Backlog.Milliseconds()), Slow: result.Slow,
		ServiceUs: uint32(result.ServiceTime.Microseconds()), RefusedForMs: uint32(result.Refusal.For.Milliseconds()),
	}, nil
}

// End releases prompts that were read or abandoned.
func (s *Server) End(_ context.Context, req *wire.EndRequest) (*wire.EndResponse, error) {
	s.Regulator.complete(req.GetPrompts())
	return &wire.EndResponse{}, nil
}
