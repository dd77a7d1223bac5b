package applier

import (
	"bronzelead.example/pkg/wire"
)

// claim grants a key to the first request. Later requests get the existing claim; only a repeat
// of the owner's own attempt is granted again.
func (sm *StateMachine) claim(cmd *wire.ClaimCommand) *wire.ClaimResponse {
	key := ClaimKey{Customer: cmd.GetCustomer(), Key: cmd.GetKey()}
	if c := sm.claims[key]; c != nil {
		own := c.GetState() == wire.ClaimState_CLAIM_STATE_RUNNING && !c.GetOrphaned() &&
			c.GetCommand().GetRequestId() == cmd.GetRequestId() &&
			c.GetCommand().GetAttempt() == cmd.GetAttempt()
		return &wire.ClaimResponse{Granted: own, Claim: c}
	}
	if sm.sessions[cmd.GetSession()] == nil || sm.released[cmd.GetRequestId()] {
		// An ended session may claim nothing, since its claim would never be orphaned. Nor may
		// a released request, since nobody would dispatch or release it.
		return &wire.ClaimResponse{}
	}
	c := &wire.Claim{
		Command: cmd, State: wire.ClaimState_CLAIM_STATE_RUNNING,
		ClaimedAtNs: sm.now, ExpiresAtNs: sm.now + cmd.GetKeepNs(),
	}
	sm.claims[key] = c
	sm.addToSession(key, c)
	sm.expiry.push(key, c.GetExpiresAtNs())
	return &wire.ClaimResponse{Granted: true, Claim: c}
}

func (sm *StateMachine) addToSession(key ClaimKey, c *wire.Claim) {
	session := c.GetCommand().GetSession()
	if sm.claimsBySession[session] == nil {
		sm.claimsBySession[session] = map[ClaimKey]bool{}
	}
	sm.claimsBySession[session][key] = true
}

// runningClaim returns the claim if the request still holds it.
func (sm *StateMachine) runningClaim(key ClaimKey, requestID string) *wire.Claim {
	c := sm.claims[key]
	if c.GetCommand().GetRequestId() != requestID || c.GetState() != wire.ClaimState_CLAIM_STATE_RUNNING {
		return nil
	}
	return c
}

// finish stores the outcome of a request, and returns the one that is stored: the first is final. It returns nil if another
// request holds the key.
func (sm *StateMachine) finish(cmd *wire.FinishCommand) *wire.Outcome {
	key := ClaimKey{Customer: cmd.GetCustomer(), Key: cmd.GetKey()}
	if c := sm.runningClaim(key, cmd.GetRequestId()); c != nil {
		// A claim is replaced, never modified: a snapshot may be encoding it.
		sm.claims[key] = &wire.Claim{
			Command: c.GetCommand(), State: wire.ClaimState_CLAIM_STATE_FINISHED, Outcome: cmd.GetOutcome(),
			ClaimedAtNs: c.GetClaimedAtNs(), ExpiresAtNs: c.GetExpiresAtNs(),
		}
		sm.removeFromSession(key, c)
	}
	if c := sm.claims[key]; c.GetCommand().GetRequestId() == cmd.GetRequestId() {
		return c.GetOutcome()
	}
	return nil
}

// release removes a claim whose request is known not to have run. A claim of the request that
// is committed later is refused.
func (sm *StateMachine) release(cmd *wire.ReleaseCommand) {
	key := ClaimKey{Customer: cmd.GetCustomer(), Key: cmd.GetKey()}
	if sm.runningClaim(key, cmd.GetRequestId()) != nil {
		sm.removeClaim(key)
	}
	if !sm.released[cmd.GetRequestId()] {
		sm.released[cmd.GetRequestId()] = true
		sm.releasedOrder = append(sm.releasedOrder, &wire.ReleasedRequest{RequestId: cmd.GetRequestId(), AtNs: sm.now})
	}
}

func (sm *StateMachine) removeClaim(key ClaimKey) {
	sm.removeFromSession(key, sm.claims[key])
	delete(sm.claims, key)
}

func (sm *StateMachine) removeFromSession(key ClaimKey, c *wire.Claim) {
	session := c.GetCommand().GetSession()
	delete(sm.claimsBySession[session], key)
	if len(sm.claimsBySession[session]) == 0 {
		delete(sm.claimsBySession, session)
	}
}

// expireClaims removes the claims whose time is over. If time went on by more than half of it with one command, a clock
// may have been set forward: a claim is then kept once more for its whole time, since its request may run, and a repeat of
// it may come.
func (sm *StateMachine) expireClaims(advance int64) {
	for {
		key, at, ok := sm.expiry.peek()
		if !ok || at > sm.now {
			return
		}
		sm.expiry.pop()
		c := sm.claims[key]
		if c == nil || c.GetExpiresAtNs() > sm.now {
			continue
		}
		keep := c.GetCommand().GetKeepNs()
		extended := c.GetExpiresAtNs() > c.GetClaimedAtNs()+keep
		if extended || advance <= keep/2 {
			sm.removeClaim(key)
			continue
		}
		sm.claims[key] = &wire.Claim{
			Command: c.GetCommand(), State: c.GetState(), Outcome: c.GetOutcome(), Orphaned: c.GetOrphaned(),
			ClaimedAtNs: c.GetClaimedAtNs(), ExpiresAtNs: sm.now + keep,
		}
		sm.expiry.push(key, sm.now+keep)
	}
}
