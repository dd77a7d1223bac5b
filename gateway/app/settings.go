package app

import (
	"net"
	"time"

	"bronzelead.example/pkg/apportioner"
	"bronzelead.example/pkg/configurer"
)

// Settings are all settings of a gateway.
type Settings struct {
	Instance    InstanceSettings
	Controllers ControllerSettings
	Keys        KeySettings
	Requests    RequestSettings
	Policy      PolicySettings
	Log         LogSettings
}

// InstanceSettings identify the process and its addresses.
type InstanceSettings struct {
	Name    string `required:"true" help:"Name of the instance, unlike any other's."`
	Zone    string `required:"true" help:"Availability zone of the instance."`
	Listen  string `required:"true" help:"IP number and port on which callers, backend servers and operators are served."`
	Address string `help:"IP number and port at which operators reach the instance; Listen if empty."`
	// MaxFiles and MemoryMB are the resources of the instance.
	MaxFiles int `help:"File descriptors that the process may use; a part of them is for the connections to each of its addresses."`
	MemoryMB int `help:"Memory that the process may use, in megabytes; parts of it bound what requests hold together, and the collector works harder when it is nearly used up."`
}

// resources returns the resources of the instance.
func (i *InstanceSettings) resources() apportioner.Resources {
	return apportioner.Resources{MemoryMB: i.MemoryMB, MaxFiles: i.MaxFiles}
}

// ControllerSettings configure how the controllers are reached.
type ControllerSettings struct {
	Addresses  []string      `required:"true" help:"IP numbers and ports of all controllers, separated by commas."`
	Timeout    time.Duration `help:"How long one call may take before the next controller is tried."`
	RenewEvery time.Duration `help:"Time between renewals of the session when nothing happens."`
}

// KeySettings name the files with keys.
type KeySettings struct {
	ClusterFile  string `required:"true" help:"File with the key that the system's own processes share."`
	BackendFile  string `required:"true" help:"File with a name and a key digest in each line, for backend servers."`
	OperatorFile string `required:"true" help:"File with a name and a key digest in each line, for operators."`
}

// RequestSettings bound requests.
type RequestSettings struct {
	MaxBody      int           `help:"Largest body of a request, in bytes."`
	KeepAnswer   int           `help:"Largest answer that is kept for an idempotency key, in bytes."`
	SilenceAfter time.Duration `help:"How long an answer may send nothing before it is taken up on a new connection."`
	RetryShare   float64       `help:"Retries that each request earns for the instance."`
	RetryBurst   float64       `help:"Retries that may be saved up."`
	StopDelay    time.Duration `help:"At a stop, how long requests are still taken after the readiness check fails."`
	StopWithin   time.Duration `help:"At a stop, how long running requests are waited for."`
}

// PolicySettings weigh the choice of a backend server.
type PolicySettings struct {
	BatchWeight  float64       `help:"Weight of places that stay empty in an engine's steps."`
	StallWeight  float64       `help:"Weight of work that waits before a request."`
	PrefixWeight float64       `help:"Weight of a prompt's beginning that an engine has cached."`
	ZoneWeight   float64       `help:"Weight of leaving the availability zone."`
	SuspectFor   time.Duration `help:"How long a backend server that failed is tried last."`
	IdleLease    time.Duration `help:"How long an unused lease on an adapter is kept."`
}

// LogSettings configure logging.
type LogSettings struct {
	Level string `allowed:"Debug,Info,Warn,Error" help:"Least level that is logged."`
}

const (
	defaultMaxFiles = 4096
	defaultMemoryMB = 256
)

// Defaults returns the settings of a gateway whose file is empty.
func Defaults() *Settings {
	return &Settings{
		Instance:    InstanceSettings{MaxFiles: defaultMaxFiles, MemoryMB: defaultMemoryMB},
		Controllers: ControllerSettings{Timeout: 700 * time.Millisecond, RenewEvery: 500 * time.Millisecond},
		Requests: RequestSettings{
			MaxBody: 4 << 20, KeepAnswer: 64 << 10, SilenceAfter: 2 * time.Second,
			RetryShare: 0.2, RetryBurst: 100,
			StopDelay: 2 * time.Second, StopWithin: 10 * time.Minute,
		},
		Policy: PolicySettings{
			BatchWeight: 1, StallWeight: 1, PrefixWeight: 0.3, ZoneWeight: 0.1,
			SuspectFor: 3 * time.Second, IdleLease: 10 * time.Second,
		},
		Log: LogSettings{Level: "Info"},
	}
}

// Read reads a settings file and returns all its faults.
func Read(file string) (*Settings, []configurer.Fault) {
	s := Defaults()
	faults := configurer.Read(file, s)
	faults = append(faults, s.check(file)...)
	return s, faults
}

// check finds values that conflict or need more than a type check.
func (s *Settings) check(file string) []configurer.Fault {
	var faults []configurer.Fault
	fault := func(section, key, problem string) {
		faults = append(faults, configurer.Fault{File: file, Section: section, Key: key, Problem: problem})
	}
	for _, address := range s.Controllers.Addresses {
		if !isAddress(address) {
			fault("Controllers", "Addresses", address+" is no IP number and port")
		}
	}
	if s.Instance.Listen != "" && !isAddress(s.Instance.Listen) {
		fault("Instance", "Listen", s.Instance.Listen+" is no IP number and port")
	}
	if s.Instance.Address != "" && !isAddress(s.Instance.Address) {
		fault("Instance", "Address", s.Instance.Address+" is no IP number and port")
	}
	if s.Controllers.RenewEvery >= time.Second {
		fault("Controllers", "RenewEvery", "it must be below 1s, a third of a session's lease")
	}
	for key, problem := range s.Instance.resources().Problems() {
		fault("Instance", key, problem)
	}
	if s.Requests.KeepAnswer > s.Requests.MaxBody {
		fault("Requests", "KeepAnswer", "it must not be above MaxBody")
	}
	return faults
}

func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
