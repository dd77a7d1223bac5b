package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

const (
	// partPrefix begins the fingerprints of parts of prompts; those of requests are hexadecimal.
	partPrefix = "Part/"
	// maxPartID bounds the ids that are shown as they are; longer ones are hashed.
	maxPartID = 64
	// maxParts bounds the parts of one prompt that count as evidence.
	maxParts = 32
	// requestsPerPart is the number of different requests that must have been lost with a part: with one
	// alone, the request itself explains the crashes.
	requestsPerPart = 2
	// weakEvidenceThreshold is the number of crashes that quarantine a part although runs with it were
	// completed a short time before, or answers had begun before some of the crashes.
	weakEvidenceThreshold = 5
	// partSettleDelay is the wait for reports on a part. It includes the time in which gateways
	// receive the list of suspects and report when runs with the part were completed there.
	partSettleDelay = 800 * time.Millisecond
	// completedPartSettleDelay is the same for a part with runs that were completed a short time before.
	// Parts that many requests share are in most crashes; what causes these is found earlier.
	completedPartSettleDelay = 2 * time.Second
	// outageWindow is how far apart the reported times of crashes in one outage are, and outageSize the
	// number of crashes beside one that make an outage.
	outageWindow = 150 * time.Millisecond
	outageSize   = 3
	// completionRetention is the minimum time for which completed runs with a part are remembered.
	completionRetention = 2 * time.Minute
	// maxCompletions bounds the parts in each of the two generations of completions.
	maxCompletions = 8192
	// maxPartSuspects bounds the parts among the suspects.
	maxPartSuspects = 64
)

// PartFingerprints returns the fingerprints of the parts of a prompt, in order, without the last one:
// it belongs to the request itself or its session.
func PartFingerprints(ids []string) []string {
	if len(ids) < 2 {
		return nil
	}
	shared := ids[:min(len(ids)-1, maxParts)]
	fingerprints := make([]string, len(shared))
	for i, id := range shared {
		fingerprints[i] = partFingerprint(id)
	}
	return fingerprints
}

func partFingerprint(id string) string {
	if len(id) > maxPartID {
		digest := sha256.Sum256([]byte(id))
		id = hex.EncodeToString(digest[:])
	}
	return partPrefix + id
}

// IsPart reports whether a fingerprint is that of a part of prompts.
func IsPart(fingerprint string) bool { return strings.HasPrefix(fingerprint, partPrefix) }

// isOutage reports whether a crash is one of an outage as far as a part is concerned: most of the backend
// servers that crashed at the same time did not run it.
func isOutage(e *crash, part string) bool {
	with := 1
	for _, other := range e.near {
		if other.lost[part] != nil {
			with++
		}
	}
	without := unexplainedNear(e, part)
	return without >= outageSize && without >= 2*with
}

// unexplainedNear returns the number of crashes at the same time as another one that a part and those in
// quarantine do not explain.
func unexplainedNear(e *crash, part string) int {
	count := 0
	for _, other := range e.near {
		if other.lost[part] == nil && len(other.culprits) == 0 {
			count++
		}
	}
	return count
}

// Completions holds when runs with parts of prompts were completed last. It is bounded: the parts
// that were not used for some time are dropped first. The zero value is empty.
type Completions struct {
	current, previous map[string]time.Time
	rotatedAt         time.Time
}

// Record records a completed run with a part.
func (c *Completions) Record(at time.Time, part string) {
	if c.current == nil || len(c.current) >= maxCompletions || at.Sub(c.rotatedAt) >= completionRetention {
		c.current, c.previous, c.rotatedAt = make(map[string]time.Time, len(c.current)), c.current, at
	}
	if at.After(c.Last(part)) {
		c.current[part] = at
	}
}

// Last returns when a run with a part was completed last; zero if none is known.
func (c *Completions) Last(part string) time.Time {
	if at, ok := c.current[part]; ok {
		return at
	}
	return c.previous[part]
}

// recent reports whether a run with a part was completed a short time before a moment.
func (c *Completions) recent(now time.Time, part string) bool {
	at := c.Last(part)
	return !at.IsZero() && now.Sub(at) < completionRetention
}
