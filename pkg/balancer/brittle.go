package balancer

import (
	"math"
	"time"

	"bronzelead.example/pkg/wire"
)

const (
	// brittleRetention is how long the backend servers of a service count as brittle after an answer
	// has said so.
	brittleRetention = 5 * time.Second
	// rejectionWindow is the time in which a brittle backend server counts its rejections.
	rejectionWindow = time.Second
	// rejectionMargin is the part of the rejections that it bears which gateways use.
	rejectionMargin = 0.5
	// minBrittleBackoff and maxBrittleBackoff bound how long a gateway sends nothing to a brittle
	// backend server that has rejected a request.
	minBrittleBackoff = 200 * time.Millisecond
	maxBrittleBackoff = 5 * time.Second
	// brittleReserve is the part of the slots of a brittle backend server that is left free where no
	// owner grants them: the known loads of the other gateways are not current.
	brittleReserve = 0.1
)

// brittleness is what the backend servers of a service have said of the rejections that they bear.
type brittleness struct {
	// rejections is the smallest number within a window, as of at.
	rejections int
	at         time.Time
	// backend is one that has said so.
	backend string
}

// ObserveBrittle records that a backend server bears so many rejections within a window, as of a
// time. It reports whether its service becomes brittle.
func (b *Balancer) ObserveBrittle(now, at time.Time, backend string, rejections int) bool {
	service := b.ServiceOf(backend)
	if service == "" || rejections <= 0 || now.Sub(at) >= brittleRetention {
		return false
	}
	begins := b.Brittle(now, service) == 0
	known := b.brittle[service]
	if begins {
		known = brittleness{rejections: rejections}
	}
	known.rejections = min(known.rejections, rejections)
	if !at.Before(known.at) {
		known.at, known.backend = at, backend
	}
	if b.brittle == nil {
		b.brittle = map[string]brittleness{}
	}
	b.brittle[service] = known
	return begins
}

// addBrittle adds to the load of a backend server what it bears.
func (b *Balancer) addBrittle(now time.Time, k *backend, l *wire.Load) {
	known := b.brittle[k.info.GetService()]
	l.Brittle, l.BrittleAgeMs = uint32(known.rejections), uint32(now.Sub(known.at).Milliseconds())
}

// saysBrittle reports whether a backend server was the latest of its service to say so.
func (b *Balancer) saysBrittle(now time.Time, k *backend) bool {
	if len(b.brittle) == 0 {
		return false
	}
	service := k.info.GetService()
	return b.Brittle(now, service) > 0 && b.brittle[service].backend == k.info.GetId()
}

// Brittle returns how many rejections within a window each backend server of a service bears; 0 if
// they are not brittle.
func (b *Balancer) Brittle(now time.Time, service string) int {
	known, ok := b.brittle[service]
	if !ok {
		return 0
	}
	if now.Sub(known.at) >= brittleRetention {
		delete(b.brittle, service)
		return 0
	}
	return known.rejections
}

// RejectionBackoff returns for how long this gateway sends nothing to a backend server of a service
// that has rejected a request for want of room, so that all gateways together cause fewer rejections
// than it bears; 0 if the service is not brittle.
func (b *Balancer) RejectionBackoff(now time.Time, service string, gateways int) time.Duration {
	rejections := b.Brittle(now, service)
	if rejections == 0 {
		return 0
	}
	share := float64(max(1, gateways)) / (rejectionMargin * float64(rejections))
	return min(max(minBrittleBackoff, time.Duration(share*float64(rejectionWindow))), maxBrittleBackoff)
}

// reserve returns how many slots of a backend server are left free.
func (b *Balancer) reserve(now time.Time, k *backend) float64 {
	if len(b.brittle) == 0 || b.Brittle(now, k.info.GetService()) == 0 {
		return 0
	}
	return math.Ceil(brittleReserve * k.slots())
}
