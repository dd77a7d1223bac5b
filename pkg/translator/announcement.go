// Package translator implements the protocol of backend servers: announcements, orders to load
// and unload adapters, requests with their echoes, resuming and cancelling. Support for another
// published protocol changes only this package.
package translator

import (
	"bytes"
	"encoding/json"
	"net"
	"regexp"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/wire"
)

// AnnouncePath is the path at which a gateway receives announcements.
const AnnouncePath = "/backends/announce"

// The kinds of backend servers in announcements.
const (
	KindEngine  = "Engine"
	KindService = "Service"
)

const (
	maxLoaded   = 4096
	maxSlots    = 65536
	namePattern = `^[A-Za-z0-9][A-Za-z0-9._@-]{0,255}$`
)

// Announcement is the state that a backend server announces about once a second.
type Announcement struct {
	// Name is the instance's name; Incarnation changes with each start.
	Name        string
	Incarnation string
	// Kind is Engine or Service.
	Kind string
	// Address is an IP number and port.
	Address string
	// Zone is the availability zone.
	Zone string
	// BaseModel, Slots, Batch and Loaded are set for engines.
	BaseModel string   `json:",omitempty"`
	Slots     uint32   `json:",omitempty"`
	Batch     uint32   `json:",omitempty"`
	Loaded    []string `json:",omitempty"`
	// Service is the name of a plain service.
	Service string `json:",omitempty"`
	// ChecksFencing means that orders with an old fencing number are refused.
	ChecksFencing bool
	// Leaving means that the server wants no new work.
	Leaving bool
	// Running and Waiting count the requests at the server; the numbers may be slightly out of
	// date.
	Running uint32
	Waiting uint32
}

// ParseAnnouncement decodes and validates an announcement.
func ParseAnnouncement(body []byte) (*wire.Backend, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	a := &Announcement{}
	if err := decoder.Decode(a); err != nil {
		return nil, fail("ParseAnnouncement", KindMalformed, "%v", err)
	}
	if err := a.check(); err != nil {
		return nil, err
	}
	return a.backend(), nil
}

func (a *Announcement) check() error {
	names := regexp.MustCompile(namePattern)
	for what, name := range map[string]string{"Name": a.Name, "Incarnation": a.Incarnation, "Zone": a.Zone} {
		if !names.MatchString(name) {
			return fail("ParseAnnouncement", KindMalformed, "%s %q is no name", what, name)
		}
	}
	host, port, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return fail("ParseAnnouncement", KindMalformed, "Address %q is no IP number and port", a.Address)
	}
	switch a.Kind {
	case KindEngine:
		if a.BaseModel == "" || a.Slots == 0 || a.Slots > maxSlots || a.Batch == 0 || len(a.Loaded) > maxLoaded {
			return fail("ParseAnnouncement", KindMalformed, "an engine needs BaseModel, Slots and Batch")
		}
	case KindService:
		if !names.MatchString(a.Service) {
			return fail("ParseAnnouncement", KindMalformed, "a service needs Service")
		}
	default:
		return fail("ParseAnnouncement", KindMalformed, "Kind %q is not %s or %s", a.Kind, KindEngine, KindService)
	}
	return nil
}

func (a *Announcement) backend() *wire.Backend {
	kind := wire.BackendKind_BACKEND_KIND_ENGINE
	if a.Kind == KindService {
		kind = wire.BackendKind_BACKEND_KIND_SERVICE
	}
	return &wire.Backend{
		Name: a.Name, Incarnation: a.Incarnation, Kind: kind, Address: a.Address, Zone: a.Zone,
		BaseModel: a.BaseModel, Service: a.Service, Slots: a.Slots, Batch: a.Batch,
		ChecksFencing: a.ChecksFencing, Leaving: a.Leaving, Loaded: a.Loaded,
		Running: a.Running, Waiting: a.Waiting,
	}
}

// Kind is the kind of an error of this package.
type Kind int

// The kinds of errors.
const (
	// KindMalformed means that the input can't be decoded.
	KindMalformed Kind = iota + 1
	// KindMismatched means that an answer belongs to another request or adapter.
	KindMismatched
	// KindTruncated means that an answer is incomplete.
	KindTruncated
	// KindRefused means that the server refused the order or request and did not run it.
	KindRefused
)

// Error is the error type of this package.
type Error struct {
	Operation string
	Kind      Kind
	cause     error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "translator: " + e.Operation + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

func fail(operation string, kind Kind, format string, args ...any) error {
	return &Error{Operation: operation, Kind: kind, cause: errors.Errorf(format, args...)}
}

// IsKind reports whether an error of this package is of a kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
