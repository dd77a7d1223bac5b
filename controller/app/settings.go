package app

import (
	"net"
	"time"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/apportioner"
	"bronzelead.example/pkg/configurer"
)

// Settings are all settings of a controller.
type Settings struct {
	Instance InstanceSettings
	Data     DataSettings
	Members  MemberSettings
	Keys     KeySettings
	Timing   TimingSettings
	Engines  EngineSettings
	Log      LogSettings
}

// InstanceSettings identify the process and its addresses.
type InstanceSettings struct {
	Name    string `required:"true" help:"Name of the instance, unlike any other's."`
	Zone    string `required:"true" help:"Availability zone of the instance."`
	Listen  string `required:"true" help:"IP number and port on which gateways, operators and other controllers are served."`
	Address string `help:"IP number and port at which the others reach the instance; Listen if empty."`
	// MaxFiles and MemoryMB are the resources of the instance.
	MaxFiles int `help:"File descriptors that the process may use; a part of them is for the connections to each of its addresses."`
	MemoryMB int `help:"Memory that the process may use, in megabytes; parts of it bound what requests hold together, and the collector works harder when it is nearly used up."`
}

// resources returns the resources of the instance.
func (i *InstanceSettings) resources() apportioner.Resources {
	return apportioner.Resources{MemoryMB: i.MemoryMB, MaxFiles: i.MaxFiles}
}

// DataSettings configure where the state is stored.
type DataSettings struct {
	Folder        string `required:"true" help:"Folder for the log, the votes and the snapshots."`
	SnapshotEvery int    `help:"Entries of the log after which it is replaced by a snapshot."`
}

// MemberSettings name the controllers and their addresses.
type MemberSettings struct {
	Names     []string `required:"true" help:"Names that are admitted as members when a new cluster is made by init."`
	Addresses []string `required:"true" help:"IP numbers and ports of controllers that are asked to let this one join."`
}

// KeySettings name the files with keys.
type KeySettings struct {
	ClusterFile  string `required:"true" help:"File with the key that the system's own processes share."`
	OperatorFile string `required:"true" help:"File with a name and a key digest in each line, for operators."`
}

// TimingSettings hold intervals and timeouts.
type TimingSettings struct {
	Heartbeat       time.Duration `help:"Time between two rounds of a leader's messages."`
	ElectionTimeout time.Duration `help:"Least time without a leader before an election."`
	SessionLease    time.Duration `help:"How long a gateway's session lives after a renewal."`
	LongestRequest  time.Duration `help:"How long a request may run after its gateway's session has ended. At least the longest deadline of any contract."`
	PeerTimeout     time.Duration `help:"How long one call to another controller may take."`
}

// EngineSettings bound the loading of adapters.
type EngineSettings struct {
	WeightsURL     string        `required:"true" help:"Put before an adapter's name and version for engines to load from."`
	LoadsPerSecond float64       `help:"Loads a second that the weight store allows."`
	LoadsAtOnce    int           `help:"Loads at once that the weight store serves at full speed."`
	StallWeight    float64       `help:"Weight of the time that requests wait for a load."`
	BatchWeight    float64       `help:"Weight of the number of requests that a load lets run together."`
	StarveAfter    time.Duration `help:"How long an adapter waits before one in use is recalled for it."`
	MinResidence   time.Duration `help:"How long a loaded adapter stays at least."`
	BackendLease   time.Duration `help:"How long a backend server is known after its last announcement."`
	LongestOrder   time.Duration `help:"How long an order to an engine may take."`
	BackOff        time.Duration `help:"Wait after a first failed load; it doubles up to MaxBackOff."`
	MaxBackOff     time.Duration `help:"Longest wait after failed loads."`
}

// LogSettings configure logging.
type LogSettings struct {
	Level string `allowed:"Debug,Info,Warn,Error" help:"Least level that is logged."`
}

const (
	defaultMaxFiles = 4096
	defaultMemoryMB = 256
)

// Defaults returns the settings of a controller whose file is empty.
func Defaults() *Settings {
	return &Settings{
		Instance: InstanceSettings{MaxFiles: defaultMaxFiles, MemoryMB: defaultMemoryMB},
		Data:     DataSettings{SnapshotEvery: 20_000},
		Timing: TimingSettings{
			Heartbeat: 100 * time.Millisecond, ElectionTimeout: 600 * time.Millisecond,
			SessionLease: 3 * time.Second, LongestRequest: applier.MaxDeadline,
			PeerTimeout: 500 * time.Millisecond,
		},
		Engines: EngineSettings{
			LoadsPerSecond: 5, LoadsAtOnce: 3, StallWeight: 1, BatchWeight: 0.1,
			StarveAfter: time.Second, MinResidence: 2 * time.Second,
			BackendLease: 3 * time.Second, LongestOrder: 10 * time.Second,
			BackOff: 500 * time.Millisecond, MaxBackOff: time.Minute,
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

const minTimeoutHeartbeats = 3

// check finds values that conflict or need more than a type check.
func (s *Settings) check(file string) []configurer.Fault {
	var faults []configurer.Fault
	fault := func(section, key, problem string) {
		faults = append(faults, configurer.Fault{File: file, Section: section, Key: key, Problem: problem})
	}
	for _, address := range append([]string{s.Instance.Listen}, s.Members.Addresses...) {
		if address != "" && !isAddress(address) {
			fault("Members", "Addresses", address+" is no IP number and port")
		}
	}
	for key, problem := range s.Instance.resources().Problems() {
		fault("Instance", key, problem)
	}
	if s.Timing.ElectionTimeout < minTimeoutHeartbeats*s.Timing.Heartbeat {
		fault("Timing", "ElectionTimeout", "it must be at least three times Heartbeat")
	}
	if s.Timing.SessionLease < 2*s.Timing.ElectionTimeout+time.Second {
		fault("Timing", "SessionLease", "it must be at least two election timeouts and a second, or a failover ends sessions")
	}
	if s.Engines.LoadsAtOnce == 0 || s.Engines.LoadsPerSecond == 0 {
		fault("Engines", "LoadsAtOnce", "LoadsAtOnce and LoadsPerSecond must be above 0")
	}
	return faults
}

func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

// address returns the address at which the others reach the instance.
func (s *Settings) address() string {
	if s.Instance.Address != "" {
		return s.Instance.Address
	}
	return s.Instance.Listen
}
