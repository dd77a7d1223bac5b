package forwarder

import (
	"context"
	"slices"
	"time"

	"bronzelead.example/gateway/originfinder"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/matcher"
	"bronzelead.example/pkg/originrecorder"
	"bronzelead.example/pkg/wire"
)

const (
	// resumeMargin is how much longer than its route's timeout a stream may take over its caller's
	// attempts.
	resumeMargin = time.Second
	// refreshInterval is the time between two reports of the origins of running streams, so that gateways
	// that have restarted remember them too.
	refreshInterval = 2 * time.Second
	// retryOfOrigin is the retry time of a caller whose stream's origin could not be found since gateways
	// did not answer.
	retryOfOrigin = 300 * time.Millisecond
	// maxUnconfirmedAge is the age of the leader's state up to which it shows all software versions that can have begun
	// a stream, where others can't confirm it: about the time in which updates reach a gateway.
	maxUnconfirmedAge = 300 * time.Millisecond
	// stateWait bounds the wait for such a state, and statePoll is the time between two looks at its age.
	stateWait = 500 * time.Millisecond
	statePoll = 20 * time.Millisecond
)

// Reasons for refusing to resume a stream.
const (
	reasonOriginUnknown   = "the software version that began the stream is not known"
	reasonOriginUnread    = "the software version that began the stream is not known, as gateways or controllers do not answer"
	reasonOriginAmbiguous = "two streams began with the id that the request resumes"
	reasonOriginOutdated  = "the software version that began the stream is not known, as this instance is not up to date"
	reasonOriginMoved     = "the route of the stream no longer leads to the service that began it"
)

// originSource is how the software version that began a stream was found.
type originSource string

const (
	originRemembered   originSource = "Remembered"
	originOfGateway    originSource = "Gateway"
	originOfController originSource = "Controller"
	originOnlyVersion  originSource = "OnlyVersion"
)

// streamOrigin is what is known of the software version that began a job's stream.
type streamOrigin struct {
	known   bool
	version string
}

// initOrigins creates a finder without other gateways if none is set.
func (f *Forwarder) initOrigins() {
	if f.Origins == nil {
		f.Origins = &originfinder.Finder{Clock: f.Clock, Log: f.Log, Meter: f.Meter}
		f.Origins.Init()
	}
}

func isStream(route *wire.Route) bool {
	return route.GetRepetition() == wire.Repetition_REPETITION_STREAM
}

// findOrigin finds the software version that began the stream that a request takes up, or refuses the
// request: what two versions write does not fit together, and backend servers do not check it.
func (f *Forwarder) findOrigin(ctx context.Context, j *job) bool {
	if j.meta.ResumeAfter == "" || !isStream(j.route) {
		return true
	}
	result := originfinder.Result{}
	if j.meta.Resumes != "" {
		result = f.lookUpOrigin(ctx, j)
		j.waited += result.Took
	}
	switch result.Knowledge {
	case originrecorder.Known:
		return f.useOrigin(j, result)
	case originrecorder.Ambiguous:
		f.refuseOrigin(j, result, reasonOriginAmbiguous, 0)
		return false
	case originrecorder.Unknown:
	}
	if ctx.Err() != nil {
		f.handleExpiry(ctx, j)
		return false
	}
	outdated := false
	if _, certain := f.onlyVersion(j); certain && (j.meta.Resumes == "" || result.Unanswered > 0) {
		outdated = !f.awaitRecentState(ctx)
	}
	if version, certain := f.onlyVersion(j); certain && !outdated {
		f.setOrigin(j, originrecorder.Origin{Service: j.service, SoftwareVersion: version}, originOnlyVersion, result)
		return true
	}
	switch {
	case result.Unanswered > 0:
		f.refuseOrigin(j, result, reasonOriginUnread, retryOfOrigin)
	case outdated:
		f.refuseOrigin(j, result, reasonOriginOutdated, retryOfOrigin)
	default:
		f.refuseOrigin(j, result, reasonOriginUnknown, 0)
	}
	return false
}

// awaitRecentState waits until the leader's state is recent, and reports whether it is. A gateway that was out of contact
// may not know yet of a version that has begun streams at others since.
func (f *Forwarder) awaitRecentState(ctx context.Context) bool {
	for began := f.Clock.Now(); f.leaderAge() > maxUnconfirmedAge; {
		if f.Clock.Since(began) >= stateWait {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-f.Clock.After(statePoll):
		}
	}
	return true
}

// lookUpOrigin asks for the origin of the stream that a request takes up. While a single version can have begun it,
// controllers are not asked: they have nothing to know.
func (f *Forwarder) lookUpOrigin(ctx context.Context, j *job) originfinder.Result {
	if _, certain := f.onlyVersion(j); certain {
		return f.Origins.FindAtGateways(ctx, j.meta.Resumes)
	}
	return f.Origins.Find(ctx, j.meta.Resumes)
}

// useOrigin sends a request to the service that began its stream, if its route still leads there.
func (f *Forwarder) useOrigin(j *job, result originfinder.Result) bool {
	if !matcher.LeadsTo(j.route, result.Origin.Service) {
		f.refuseOrigin(j, result, reasonOriginMoved, 0)
		return false
	}
	f.setService(j, result.Origin.Service)
	source := originRemembered
	switch {
	case result.OfController:
		source = originOfController
	case result.Source != "":
		source = originOfGateway
	}
	f.setOrigin(j, result.Origin, source, result)
	return true
}

// setOrigin pins a request to the version that began its stream.
func (f *Forwarder) setOrigin(j *job, origin originrecorder.Origin, source originSource, result originfinder.Result) {
	j.origin = streamOrigin{known: true, version: origin.SoftwareVersion}
	f.Meter.Increment("stream_origins_found", "source", string(source))
	if source == originOnlyVersion {
		// Nothing depends on it while a service has one version.
		return
	}
	gateway, controller := result.Source, ""
	if result.OfController {
		gateway, controller = "", result.Source
	}
	f.Log.Info("a stream is taken up", "RequestID", j.meta.ID, "Resumes", j.meta.Resumes, "After", j.meta.ResumeAfter, "Service", origin.Service,
		"SoftwareVersion", origin.SoftwareVersion, "Source", source, "Gateway", gateway, "Controller", controller, "Took", result.Took.Milliseconds())
}

// refuseOrigin refuses a request whose stream may not go on. It has not run.
func (f *Forwarder) refuseOrigin(j *job, result originfinder.Result, reason string, retryAfter time.Duration) {
	f.Meter.Increment("stream_origins_not_found", "reason", reason)
	f.mu.Lock()
	now := f.Clock.Now()
	versions, complete := f.versions.Since(j.service, now.Add(-f.longestStream(j))), f.versions.CompleteFor(now)
	f.mu.Unlock()
	f.Log.Info("a stream can't be taken up", "RequestID", j.meta.ID, "Resumes", j.meta.Resumes, "After", j.meta.ResumeAfter, "Service", j.service,
		"Versions", versions, "CompleteFor", complete.Milliseconds(), "Unanswered", result.Unanswered, "Took", result.Took.Milliseconds())
	f.refuse(j, statusUnavailable, reason, retryAfter)
}

// longestStream bounds how long ago the stream that a request takes up has begun.
func (f *Forwarder) longestStream(j *job) time.Duration {
	return max(milliseconds(j.route.GetTimeoutMs()), j.meta.ClientTimeout) + resumeMargin
}

// onlyVersion returns the only software version that can have begun a stream, if that is certain.
func (f *Forwarder) onlyVersion(j *job) (version string, certain bool) {
	leaderAge := f.leaderAge()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions.Only(f.Clock.Now(), j.service, f.longestStream(j), leaderAge)
}

// beginStream remembers the software version that begins a job's stream, before its caller gets the
// first event.
func (f *Forwarder) beginStream(j *job, backend *wire.Announcement) {
	if j.origin.known {
		return
	}
	j.origin = streamOrigin{known: true, version: backend.GetSoftwareVersion()}
	if !j.route.GetResumable() {
		return
	}
	now := f.Clock.Now()
	f.mu.Lock()
	f.versions.RecordUse(now, j.service, backend.GetSoftwareVersion())
	mixed := f.versions.Mixed(now, j.service)
	f.runningStreams[j] = struct{}{}
	f.mu.Unlock()
	if !mixed {
		return
	}
	f.Log.Info("a stream begins", "RequestID", j.meta.ID, "Service", j.service, "Backend", backend.GetId(),
		"SoftwareVersion", backend.GetSoftwareVersion())
	f.Origins.Record([]originfinder.Stream{f.streamOf(now, j)})
}

// streamOf describes a job's stream for those who remember its origin.
func (f *Forwarder) streamOf(now time.Time, j *job) originfinder.Stream {
	until := j.clientDeadline
	if until.IsZero() {
		until = j.deadline.Add(f.longestStream(j))
	}
	return originfinder.Stream{
		Attempt: j.meta.ID, Origin: originrecorder.Origin{Service: j.service, SoftwareVersion: j.origin.version},
		Left: max(0, until.Sub(now)+resumeMargin),
	}
}

// endStream forgets a stream that has ended here.
func (f *Forwarder) endStream(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.runningStreams, j)
}

// reportRunning reports the origins of the running streams of services that have just got several software
// versions.
func (f *Forwarder) reportRunning(services []string) {
	if streams := f.runningStreamsOf(services); len(streams) > 0 {
		f.Origins.Record(streams)
	}
}

// runningStreamsOf returns the running streams of services.
func (f *Forwarder) runningStreamsOf(services []string) []originfinder.Stream {
	if len(services) == 0 {
		return nil
	}
	now := f.Clock.Now()
	var streams []originfinder.Stream
	f.mu.Lock()
	defer f.mu.Unlock()
	for j := range f.runningStreams {
		if slices.Contains(services, j.service) {
			streams = append(streams, f.streamOf(now, j))
		}
	}
	return streams
}

// refreshOrigins periodically reports the origins of running streams again, while their services have
// several software versions.
func (f *Forwarder) refreshOrigins() {
	now := f.Clock.Now()
	f.mu.Lock()
	due := now.Sub(f.refreshedAt) >= refreshInterval
	var mixed []string
	if due {
		f.refreshedAt = now
		f.versions.Prune(now)
		mixed = f.versions.Services(now)
	}
	f.mu.Unlock()
	if streams := f.runningStreamsOf(mixed); len(streams) > 0 {
		f.Origins.Refresh(streams)
	}
}

// pin returns the restriction to the software version that began the job's stream, if it has begun.
func (j *job) pin() balancer.Pin {
	if !j.origin.known {
		return balancer.Pin{}
	}
	return balancer.PinTo(j.origin.version)
}
