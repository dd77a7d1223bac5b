package routecoordinator

import (
	"time"

	"bronzelead.example/pkg/versiontracker"
	"bronzelead.example/pkg/wire"
)

// versionsInterval is the time between two comparisons of the software versions of backend servers with
// those in the log while nothing changes, and between two proposals of one change.
const versionsInterval = time.Second

// softwareVersion is a software version of a service.
type softwareVersion struct {
	service, version string
}

// recordedVersions compares the software versions of backend servers with those in the log, which outlives
// a restart of all controllers.
type recordedVersions struct {
	// presentAt is when each version was last present, or first known, and proposedAt when a change of it
	// was last proposed.
	presentAt, proposedAt map[softwareVersion]time.Time
	// present are those of the backend servers that are known, and complete is set if all are in the log.
	present  map[softwareVersion]bool
	complete bool
	// revision is that of the backend servers at the last comparison, at comparedAt.
	revision   uint64
	comparedAt time.Time
}

// recordVersions lets the leader record new software versions in the log, and remove those that have been
// absent for so long that no stream is left which they began.
func (c *Coordinator) recordVersions(now time.Time) {
	r := &c.recorded
	if !c.leads(now) {
		*r = recordedVersions{}
		return
	}
	if r.complete && r.revision == c.tracker.Revision() && now.Sub(r.comparedAt) < versionsInterval {
		return
	}
	if r.presentAt == nil {
		r.presentAt, r.proposedAt = map[softwareVersion]time.Time{}, map[softwareVersion]time.Time{}
	}
	r.revision, r.comparedAt = c.tracker.Revision(), now
	r.present, r.complete = map[softwareVersion]bool{}, true
	for _, a := range c.tracker.All() {
		r.present[softwareVersion{a.GetService(), a.GetSoftwareVersion()}] = true
	}
	for key := range r.present {
		r.presentAt[key] = now
		if !c.state.HasSoftwareVersion(key.service, key.version) {
			r.complete = false
			c.proposeVersion(now, key, false)
		}
	}
	for _, v := range c.state.SoftwareVersions() {
		key := softwareVersion{v.GetService(), v.GetVersion()}
		if _, known := r.presentAt[key]; !known {
			r.presentAt[key] = now
		}
		if now.Sub(r.presentAt[key]) > versiontracker.Retention {
			c.proposeVersion(now, key, true)
		}
	}
}

// proposeVersion proposes a change of a software version in the log, unless that was done recently.
func (c *Coordinator) proposeVersion(now time.Time, key softwareVersion, gone bool) {
	if at, proposed := c.recorded.proposedAt[key]; proposed && now.Sub(at) < versionsInterval {
		return
	}
	c.recorded.proposedAt[key] = now
	c.Log.Info("a software version of a service changes in the log", "Service", key.service, "SoftwareVersion", key.version, "Gone", gone)
	c.propose(&wire.Command{Body: &wire.Command_PutSoftwareVersion{PutSoftwareVersion: &wire.SoftwareVersion{
		Service: key.service, Version: key.version, Gone: gone,
	}}})
}

// addVersions adds for how long all software versions are known to a response of the leader, and those in
// the log that no known backend server has.
func (c *Coordinator) addVersions(now time.Time, res *wire.SyncResponse) {
	observed := c.observedFor(now)
	if observed > 0 && c.recorded.complete && len(c.state.SoftwareVersions()) > 0 {
		observed = forgetAfter
	}
	res.ObservedMs = uint32(observed.Milliseconds())
	for _, v := range c.state.SoftwareVersions() {
		if !c.recorded.present[softwareVersion{v.GetService(), v.GetVersion()}] {
			res.EarlierVersions = append(res.EarlierVersions, v)
		}
	}
}
