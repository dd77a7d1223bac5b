package applier

import (
	"bronzelead.example/pkg/wire"
)

// claim gives a key to the first request that asks for it. Everybody later gets
// the claim as it stands; only the owner's own repeat is granted again.
func (r *StateMachine) claim(cmd *wire.ClaimCommand) *wire.ClaimResponse {
	key := ClaimKey{Customer: cmd.GetCustomer(), Key: cmd.GetKey()}
	if c := r.claims[key]; c != nil {
		own := c.GetState() == wire.ClaimState_CLAIM_STATE_RUNNING && !c.GetOrphaned() &&
			c.GetCommand().GetRequestId() == cmd.GetRequestId() &&
			c.GetCommand().GetAttempt() == cmd.GetAttempt()
		return &wire.ClaimResponse{Granted: own, Claim: c}
	}
	if r.sessions[cmd.GetSession()] == nil || r.released[cmd.GetRequestId()] {
		// A session that has ended may claim nothing: nobody would notice its end. Nor
		// may a request that has given up: nobody would dispatch or release it.
		return &wire.ClaimResponse{}
	}
	c := &wire.Claim{
		Command: cmd, State: wire.ClaimState_CLAIM_STATE_RUNNING,
		ClaimedAtNs: r.now, ExpiresAtNs: r.now + cmd.GetKeepNs(),
	}
	r.claims[key] = c
	r.own(key, c)
	r.expiry.push(key, c.GetExpiresAtNs())
	return &wire.ClaimResponse{Granted: true, Claim: c}
}

func (r *StateMachine) own(key ClaimKey, c *wire.Claim) {
	session := c.GetCommand().GetSession()
	if r.owned[session] == nil {
		r.owned[session] = map[ClaimKey]bool{}
	}
	r.owned[session][key] = true
}

// running returns the claim if the request still holds it.
func (r *StateMachine) running(key ClaimKey, requestID string) *wire.Claim {
	c := r.claims[key]
	if c.GetCommand().GetRequestId() != requestID || c.GetState() != wire.ClaimState_CLAIM_STATE_RUNNING {
		return nil
	}
	return c
}

// finish stores the outcome of a request. The first outcome stands.
func (r *StateMachine) finish(cmd *wire.FinishCommand) *wire.Outcome {
	key := ClaimKey{Customer: cmd.GetCustomer(), Key: cmd.GetKey()}
	if c := r.running(key, cmd.GetRequestId()); c != nil {
		// A claim is replaced, never changed: a snapshot may be encoding it.
		r.claims[key] = &wire.Claim{
			Command: c.GetCommand(), State: wire.ClaimState_CLAIM_STATE_FINISHED, Outcome: cmd.GetOutcome(),
			ClaimedAtNs: c.GetClaimedAtNs(), ExpiresAtNs: c.GetExpiresAtNs(),
		}
		r.disown(key, c)
	}
	return r.claims[key].GetOutcome()
}

// release takes a claim back whose request is known not to have run. A claim that
// has not come into the log yet is kept out of it.
func (r *StateMachine) release(cmd *wire.ReleaseCommand) {
	key := ClaimKey{Customer: cmd.GetCustomer(), Key: cmd.GetKey()}
	if r.running(key, cmd.GetRequestId()) != nil {
		r.dropClaim(key)
	}
	if !r.released[cmd.GetRequestId()] {
		r.released[cmd.GetRequestId()] = true
		r.releasedOrder = append(r.releasedOrder, &wire.ReleasedRequest{RequestId: cmd.GetRequestId(), AtNs: r.now})
	}
}

func (r *StateMachine) dropClaim(key ClaimKey) {
	r.disown(key, r.claims[key])
	delete(r.claims, key)
}

func (r *StateMachine) disown(key ClaimKey, c *wire.Claim) {
	session := c.GetCommand().GetSession()
	delete(r.owned[session], key)
	if len(r.owned[session]) == 0 {
		delete(r.owned, session)
	}
}
