package app

import (
	"net"
	"strconv"
	"time"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/apportioner"
	"bronzelead.example/pkg/configurer"
	"bronzelead.example/pkg/placer"
)

// RoutedSettings are the settings of a controller that keeps a table of routes.
type RoutedSettings struct {
	Instance   RoutedInstance
	Data       DataSettings
	Members    RoutedMembers
	Timing     RoutedTiming
	Placement  PlacementSettings
	Limits     LimitSettings
	Log        LogSettings
	Experiment ablator.Settings
}

// RoutedInstance identifies the process and its addresses.
type RoutedInstance struct {
	Name    string `required:"true" help:"Name of the instance, unlike any other's."`
	Zone    string `required:"true" help:"Availability zone of the instance."`
	IP      string `required:"true" help:"IP number at which the other instances reach this one."`
	Port    int    `required:"true" help:"Port for the system's own processes, the same on all instances."`
	Control string `required:"true" help:"IP number and port for operators and backend servers."`
	// MaxFiles and MemoryMB are the resources of the instance.
	MaxFiles int `help:"File descriptors that the process may use; a part of them is for the connections to each of its addresses."`
	MemoryMB int `help:"Memory that the process may use, in megabytes; parts of it bound what requests hold together, and the collector works harder when it is nearly used up."`
}

// resources returns the resources of the instance.
func (i *RoutedInstance) resources() apportioner.Resources {
	return apportioner.Resources{MemoryMB: i.MemoryMB, MaxFiles: i.MaxFiles}
}

// RoutedMembers configures how controllers find each other.
type RoutedMembers struct {
	Seeds     []string `required:"true" help:"Addresses of controllers; only the IP numbers count, since the port is the same everywhere."`
	Bootstrap bool     `help:"The whole system starts for the first time: the seeds found the cluster."`
	MaxVoters int      `help:"Most controllers that vote. Two of five may be lost at once."`
}

// RoutedTiming holds intervals and timeouts.
type RoutedTiming struct {
	Heartbeat       time.Duration `help:"Time between two rounds of a leader's messages."`
	ElectionTimeout time.Duration `help:"Least time without a leader before an election."`
	VoteDelay       time.Duration `help:"How long after its start a controller grants no vote, so that the messages of a leader arrive first. It is no shorter than Heartbeat; 0 stands for a heartbeat and a quarter."`
	SilentMember    time.Duration `help:"Time without an answer after which a controller may lose its vote to one that stands by."`
	PeerTimeout     time.Duration `help:"How long one call to another controller may take."`
	Announcements   time.Duration `help:"Time between two announcements of a backend server."`
	HandOver        time.Duration `help:"How long a new leader gives no orders to engines that do not check fencing numbers, so that two never take turns."`
	OrderTimeout    time.Duration `help:"How long one call to an engine may take."`
}

// PlacementSettings bound the placement of adapters.
type PlacementSettings struct {
	Reserve     int           `help:"Places kept free at each engine, so that loads need not wait for unloads."`
	ColdLoad    time.Duration `help:"Expected time of a load from the weight store."`
	WarmLoad    time.Duration `help:"Expected time of a load from an engine's own memory."`
	Fenced      bool          `help:"Engines refuse orders of an earlier leader by their fencing numbers, so that a new one may begin at once."`
	FillPerCopy float64       `help:"Part of an engine's slots that one adapter's requests may take before it gets another copy."`
}

// LimitSettings configure how exactly customers' limits are enforced: in any Window, at most
// (rate * Window + burst) * (1 + Overage) + Slack is sent on for a customer.
type LimitSettings struct {
	Window  time.Duration `help:"Span over which a customer's limit is judged."`
	Overage float64       `help:"Part of a limit by which it may be passed in a window, over all gateways. It pays for what gateways have borrowed and not spent."`
	Slack   float64       `help:"What may be sent on in a window beside that, in the unit of the limit."`
}

// RoutedDefaults returns the settings of a file that has only the required ones.
func RoutedDefaults() *RoutedSettings {
	policy := placer.DefaultPolicy()
	return &RoutedSettings{
		Instance: RoutedInstance{MaxFiles: defaultMaxFiles, MemoryMB: defaultMemoryMB},
		Data:     DataSettings{SnapshotEvery: 2000},
		Members:  RoutedMembers{MaxVoters: 5},
		Timing: RoutedTiming{
			Heartbeat: 100 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond, SilentMember: 1500 * time.Millisecond,
			PeerTimeout: 500 * time.Millisecond, Announcements: 1200 * time.Millisecond,
			HandOver: 3 * time.Second, OrderTimeout: 60 * time.Millisecond,
		},
		Placement: PlacementSettings{
			Reserve: policy.ReservedSlots, ColdLoad: policy.ColdLoad, WarmLoad: policy.WarmLoad, FillPerCopy: policy.FillPerReplica,
		},
		Limits: LimitSettings{Window: 10 * time.Second, Overage: 0.1, Slack: 100},
		Log:    LogSettings{Level: "Info"},
	}
}

// ReadRouted reads a settings file and returns all its faults.
func ReadRouted(file string) (*RoutedSettings, []configurer.Fault) {
	s := RoutedDefaults()
	faults := configurer.Read(file, s)
	fault := func(section, key, problem string) {
		faults = append(faults, configurer.Fault{File: file, Section: section, Key: key, Problem: problem})
	}
	if s.Instance.IP != "" && net.ParseIP(s.Instance.IP) == nil {
		fault("Instance", "IP", s.Instance.IP+" is no IP number")
	}
	if s.Instance.Control != "" && !isAddress(s.Instance.Control) {
		fault("Instance", "Control", s.Instance.Control+" is no IP number and port")
	}
	for _, seed := range s.Members.Seeds {
		if !isAddress(seed) {
			fault("Members", "Seeds", seed+" is no IP number and port")
		}
	}
	if s.Timing.ElectionTimeout < minTimeoutHeartbeats*s.Timing.Heartbeat {
		fault("Timing", "ElectionTimeout", "it must be at least three times Heartbeat")
	}
	if s.Timing.VoteDelay != 0 && s.Timing.VoteDelay < s.Timing.Heartbeat {
		fault("Timing", "VoteDelay", "it must be at least Heartbeat, or 0: a shorter one ends before a leader's message arrives")
	}
	if s.Limits.Window <= 0 || s.Limits.Overage < 0 || s.Limits.Slack < 0 {
		fault("Limits", "Window", "it must be above 0, and neither Overage nor Slack below")
	}
	for key, problem := range s.Instance.resources().Problems() {
		fault("Instance", key, problem)
	}
	_, problems := s.Experiment.Parse(ablator.ControllerMechanisms())
	for _, p := range problems {
		fault("Experiment", p.Key, p.Text)
	}
	return s, faults
}

// meshAddress returns the address of an instance for the system's own processes.
func (s *RoutedSettings) meshAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Instance.Port))
}

// seedAddresses returns the mesh addresses of the seeds.
func (s *RoutedSettings) seedAddresses() []string {
	list := make([]string, 0, len(s.Members.Seeds))
	for _, seed := range s.Members.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			list = append(list, s.meshAddress(host))
		}
	}
	return list
}

// handoverDelay returns how long a new leader sends no orders. Engines that check fencing
// numbers refuse orders of the previous leader themselves.
func (s *RoutedSettings) handoverDelay() time.Duration {
	if s.Placement.Fenced {
		return 0
	}
	return s.Timing.HandOver
}

// off returns the mechanisms that are switched off; ReadRouted has reported any faults.
func (s *RoutedSettings) off() ablator.Disabled {
	off, _ := s.Experiment.Parse(ablator.ControllerMechanisms())
	return off
}
