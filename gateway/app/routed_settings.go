package app

import (
	"net"
	"strconv"
	"time"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/apportioner"
	"bronzelead.example/pkg/configurer"
)

// RoutedSettings are the settings of a gateway that serves callers by a table of routes.
type RoutedSettings struct {
	Instance    RoutedInstance
	Controllers RoutedControllers
	Backends    BackendSettings
	Budget      BudgetSettings
	Keys        CallerKeySettings
	Stop        StopSettings
	Log         LogSettings
	Experiment  ablator.Settings
}

// RoutedInstance identifies the process and its addresses.
type RoutedInstance struct {
	Name   string `required:"true" help:"Name of the instance, unlike any other's."`
	Zone   string `required:"true" help:"Availability zone of the instance."`
	Listen string `required:"true" help:"IP number and port for callers."`
	Health string `required:"true" help:"IP number and port at which the instance says whether it is ready, and shows its metrics."`
	// MaxFiles and MemoryMB are the resources of the instance.
	MaxFiles int `help:"File descriptors that the process may use; a part of them is for the connections to each of its addresses."`
	MemoryMB int `help:"Memory that the process may use, in megabytes; parts of it bound what requests hold together, and the collector works harder when it is nearly used up."`
}

// RoutedControllers configures how controllers are found.
type RoutedControllers struct {
	Seeds []string `required:"true" help:"Addresses of controllers; only the IP numbers count, since the port is the same everywhere."`
	Port  int      `required:"true" help:"Port at which controllers and gateways serve the system's own processes."`
}

// BackendSettings bound the connections to backend servers.
type BackendSettings struct {
	DialTimeout    time.Duration `help:"How long the opening of a connection may take."`
	MaxIdle        time.Duration `help:"How long an unused connection is kept at most."`
	IdleMargin     time.Duration `help:"Taken off the time for which a backend server says that it keeps a connection."`
	Unacknowledged time.Duration `help:"How long sent bytes may stay unacknowledged before a connection counts as dead."`
}

// BudgetSettings bound how many requests are retried.
type BudgetSettings struct {
	Window time.Duration `help:"Span over which repeats are counted."`
	Ratio  float64       `help:"Part of a service's requests that may be sent again."`
	Slack  float64       `help:"Repeats in a window, over all gateways, beside the ratio."`
}

// CallerKeySettings configure how callers' keys are checked while no leader is in contact.
type CallerKeySettings struct {
	Strict     bool          `help:"Whether requests that need a key are refused once no leader has been heard for StaleAfter; otherwise the keys that are known go on to hold."`
	StaleAfter time.Duration `help:"How long no leader may be heard before keys count as old, where Strict is set."`
}

// StopSettings bound a planned stop.
type StopSettings struct {
	Grace time.Duration `help:"How long a planned stop may take."`
	Take  time.Duration `help:"How long new requests are still taken after a stop has begun, so that they can end within Grace; later ones are refused."`
	Drain time.Duration `help:"How long new connections are still taken after a stop has begun, for the balancer in front to look elsewhere."`
}

// RoutedDefaults returns the settings of a file that has only the required ones.
func RoutedDefaults() *RoutedSettings {
	return &RoutedSettings{
		Instance: RoutedInstance{MaxFiles: defaultMaxFiles, MemoryMB: defaultMemoryMB},
		Backends: BackendSettings{
			DialTimeout: 250 * time.Millisecond, MaxIdle: 4 * time.Second, IdleMargin: time.Second,
			Unacknowledged: 2 * time.Second,
		},
		Budget: BudgetSettings{Window: 10 * time.Second, Ratio: 0.2, Slack: 50},
		Keys:   CallerKeySettings{StaleAfter: 5 * time.Second},
		Stop:   StopSettings{Grace: 8 * time.Second, Take: 2800 * time.Millisecond, Drain: 4 * time.Second},
		Log:    LogSettings{Level: "Info"},
	}
}

// ReadRouted reads a settings file and returns all its faults.
func ReadRouted(file string) (*RoutedSettings, []configurer.Fault) {
	s := RoutedDefaults()
	faults := configurer.Read(file, s)
	addresses := map[string][]string{
		"Listen": {s.Instance.Listen}, "Health": {s.Instance.Health}, "Seeds": s.Controllers.Seeds,
	}
	for _, key := range []string{"Listen", "Health", "Seeds"} {
		for _, address := range addresses[key] {
			if host, port, err := net.SplitHostPort(address); address != "" && (err != nil || net.ParseIP(host) == nil || port == "") {
				faults = append(faults, configurer.Fault{File: file, Key: key, Problem: address + " is no IP number and port"})
			}
		}
	}
	if s.Stop.Drain >= s.Stop.Grace || s.Stop.Take > s.Stop.Drain {
		faults = append(faults, configurer.Fault{
			File: file, Section: "Stop", Key: "Drain", Problem: "it must be shorter than Grace, and not shorter than Take",
		})
	}
	for key, problem := range s.resources().Problems() {
		faults = append(faults, configurer.Fault{File: file, Section: "Instance", Key: key, Problem: problem})
	}
	_, problems := s.Experiment.Parse(ablator.GatewayMechanisms())
	for _, p := range problems {
		faults = append(faults, configurer.Fault{File: file, Section: "Experiment", Key: p.Key, Problem: p.Text})
	}
	return s, faults
}

// seedAddresses returns the addresses of the seeds.
func (s *RoutedSettings) seedAddresses() []string {
	list := make([]string, 0, len(s.Controllers.Seeds))
	for _, seed := range s.Controllers.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			list = append(list, net.JoinHostPort(host, strconv.Itoa(s.Controllers.Port)))
		}
	}
	return list
}

// resources returns the resources of the instance.
func (s *RoutedSettings) resources() apportioner.Resources {
	return apportioner.Resources{MemoryMB: s.Instance.MemoryMB, MaxFiles: s.Instance.MaxFiles}
}

// meshAddress returns the address of this gateway for other gateways.
func (s *RoutedSettings) meshAddress() string {
	host, _, err := net.SplitHostPort(s.Instance.Listen)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(s.Controllers.Port))
}

// off returns the mechanisms that are switched off; ReadRouted has reported any faults.
func (s *RoutedSettings) off() ablator.Disabled {
	off, _ := s.Experiment.Parse(ablator.GatewayMechanisms())
	return off
}
