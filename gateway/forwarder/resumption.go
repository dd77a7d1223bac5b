package forwarder

import (
	"maps"

	"bronzelead.example/pkg/wire"
)

// resumption is a way in which a stream goes on after its first run broke off.
type resumption string

const (
	// resumedInAnswer is a stream that the gateway resumes in the answer that it relays.
	resumedInAnswer resumption = "InAnswer"
	// resumedByCaller is a stream that its caller resumes with another request, at any gateway.
	resumedByCaller resumption = "ByCaller"
)

// versionMatch says whether a stream goes on at the software version that began it.
type versionMatch string

const (
	sameVersion    versionMatch = "Same"
	otherVersion   versionMatch = "Other"
	unknownVersion versionMatch = "Unknown"
)

// resumptions counts streams that went on after their first run.
type resumptions map[resumption]map[versionMatch]int

// observeFirstEvents records that the first events of an attempt are about to be relayed.
func (f *Forwarder) observeFirstEvents(j *job, backend *wire.Announcement) {
	if j.begunAttempt == j.sends {
		return
	}
	switch {
	case j.begunAttempt > 0:
		f.countResumption(j, backend, resumedInAnswer)
	case j.meta.ResumeAfter != "":
		f.countResumption(j, backend, resumedByCaller)
	}
}

func (f *Forwarder) countResumption(j *job, backend *wire.Announcement, how resumption) {
	match := unknownVersion
	switch {
	case j.origin.known && j.origin.version == backend.GetSoftwareVersion():
		match = sameVersion
	case j.origin.known:
		match = otherVersion
	}
	f.Meter.Increment("streams_resumed_"+string(how), "version", string(match))
	f.Log.Info("a stream goes on", "RequestID", j.meta.ID, "How", how, "Version", match, "Service", j.service,
		"Backend", backend.GetId(), "SoftwareVersion", backend.GetSoftwareVersion(), "Resumes", j.meta.Resumes,
		"After", j.lastEventID, "BegunAt", j.origin.version)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.resumptions[how] == nil {
		f.resumptions[how] = map[versionMatch]int{}
	}
	f.resumptions[how][match]++
}

// logResumptions logs how many streams went on since the last log line.
func (f *Forwarder) logResumptions() {
	f.mu.Lock()
	list := maps.Clone(f.resumptions)
	clear(f.resumptions)
	f.mu.Unlock()
	if len(list) > 0 {
		f.Log.Info("streams resumed", "InAnswer", list[resumedInAnswer], "ByCaller", list[resumedByCaller])
	}
}
