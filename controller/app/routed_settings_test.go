package app

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/configurer"
	"bronzelead.example/pkg/settingstester"
)

func readRoutedFaults(file string) []configurer.Fault {
	_, faults := ReadRouted(file)
	return faults
}

// TestRoutedSettingsPage checks that the page matches the settings. Run it with -update to
// rewrite the program's part.
func TestRoutedSettingsPage(t *testing.T) {
	update := flag.Lookup("update").Value.String() == "true"
	settingstester.CheckPage(qt.New(t), "../../docs/SETTINGS-ROUTED.md", "## Controller\n", configurer.Describe(RoutedDefaults()), update)
}

// The template that the users' platform fills in must give settings without a fault.
func TestTemplate(t *testing.T) {
	settingstester.CheckTemplate(qt.New(t), "../../deploy/controller.ini", map[string]string{
		"seeds": "10.0.0.1:80,10.0.0.2:80", "ip": "10.0.0.1", "listen.control": "10.0.0.1:83",
		"bootstrap": "true", "bounds.fencingRequired": "true",
	}, readRoutedFaults)
}

// All faults of a file are reported, not only the first.
func TestRoutedFaults(t *testing.T) {
	const text = "[Instance]\nName = n\nZone = z\nIP = here\n[Log]\nLevel = Loud\n[Unknown]\nKey = 1\n"
	settingstester.CheckFaults(qt.New(t), text, []string{"here is no IP number", "Level", "Unknown", "Seeds"}, readRoutedFaults)
}

// Switching off a mechanism requires the Admit key, and a mechanism that this program has. Both
// faults are reported together.
func TestExperimentFaults(t *testing.T) {
	settingstester.CheckFaults(qt.New(t), "[Experiment]\nOff = Homes, Pacing\n", []string{
		"Pacing\" can't be switched off", "[Experiment] Admit: it must be MeasureOnly",
	}, readRoutedFaults)
}

// Members granted votes 50 ms after their start, before a leader that sends a message each
// 100 ms could be heard.
func TestVoteDelayCoversAHeartbeat(t *testing.T) {
	for name, test := range map[string]struct{ configured, heartbeat, want time.Duration }{
		"the defaults":         {0, RoutedDefaults().Timing.Heartbeat, 125 * time.Millisecond},
		"a longer heartbeat":   {0, 200 * time.Millisecond, 250 * time.Millisecond},
		"a configured one":     {300 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond},
		"as long as heartbeat": {100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := RoutedDefaults()
			s.Timing.VoteDelay, s.Timing.Heartbeat = test.configured, test.heartbeat
			got := (&Routed{Settings: s}).startupVoteDelay()
			c.Check(got, qt.Equals, test.want)
			c.Check(got >= test.heartbeat, qt.IsTrue)
		})
	}
}

// A vote delay that is shorter than a heartbeat is refused.
func TestVoteDelayFaults(t *testing.T) {
	for _, value := range []string{"99ms", "1ns"} {
		settingstester.CheckFaults(qt.New(t), "[Timing]\nVoteDelay = "+value+"\n", []string{"[Timing] VoteDelay: it must be at least Heartbeat"}, readRoutedFaults)
	}
}
