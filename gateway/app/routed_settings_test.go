package app

import (
	"flag"
	"testing"

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
	settingstester.CheckPage(qt.New(t), "../../docs/SETTINGS-ROUTED.md", "## Gateway\n", configurer.Describe(RoutedDefaults()), update)
}

// The template that the users' platform fills in must give settings without a fault.
func TestTemplate(t *testing.T) {
	settingstester.CheckTemplate(qt.New(t), "../../deploy/gateway.ini", map[string]string{
		"seeds": "10.0.0.1:80,10.0.0.2:80", "listen.front": "10.0.0.1:81", "listen.ready": "10.0.0.1:82",
		"bounds.retryBudgetRatio": "0.2", "bounds.graceS": "8", "bounds.revokeStrict": "false",
	}, readRoutedFaults)
}

// All faults of a file are reported, not only the first.
func TestRoutedFaults(t *testing.T) {
	const text = "[Instance]\nName = n\nZone = z\nListen = here\n[Log]\nLevel = Loud\n[Unknown]\nKey = 1\n"
	settingstester.CheckFaults(qt.New(t), text, []string{"here is no IP number", "Level", "Unknown", "Seeds"}, readRoutedFaults)
}

// Switching off a mechanism requires the Admit key, and a mechanism that this program has. Both
// faults are reported together.
func TestExperimentFaults(t *testing.T) {
	settingstester.CheckFaults(qt.New(t), "[Experiment]\nOff = Pacing, Homes\n", []string{
		"Homes\" can't be switched off", "[Experiment] Admit: it must be MeasureOnly",
	}, readRoutedFaults)
}
