// Package ablator defines the mechanisms that can be switched off to measure their benefit. In
// production none is switched off.
package ablator

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is one part of the decision logic that can be switched off.
type Mechanism string

// The mechanisms of gateways.
const (
	// TwoChoices picks the less loaded of two random backend servers; without it the least
	// loaded of all is picked.
	TwoChoices Mechanism = "TwoChoices"
	// Ejection excludes backend servers whose requests fail.
	Ejection Mechanism = "Ejection"
	// ZonePenalty prefers backend servers in a gateway's own availability zone.
	ZonePenalty Mechanism = "ZonePenalty"
	// FullHolder lets a request wait for a full engine that has its adapter, before it is sent
	// to an engine where an attempt failed.
	FullHolder Mechanism = "FullHolder"
	// BudgetMargin leaves a part of the retry budget unused.
	BudgetMargin Mechanism = "BudgetMargin"
	// SpareRequests distinguishes adapter requests of waiting requests from those for a replica
	// that would only help later ones.
	SpareRequests Mechanism = "SpareRequests"
	// PriorityOrder serves urgent requests first.
	PriorityOrder Mechanism = "PriorityOrder"
	// Pacing delays prompts that an engine can't process without a long pause.
	Pacing Mechanism = "Pacing"
	// Dispensing grants the slots of contended backend servers of plain services.
	Dispensing Mechanism = "Dispensing"
	// LocalRefusals refuses requests for contended plain services at gateways that know all
	// backend servers to be too busy; without it an owner is asked for each.
	LocalRefusals Mechanism = "LocalRefusals"
	// FairShares serves customers that recently used less of a contended service first.
	FairShares Mechanism = "FairShares"
	// UnevenServers weighs loads by the pace of backend servers and of their machines. Controllers
	// place adapters by it too.
	UnevenServers Mechanism = "UnevenServers"
)

// The mechanisms of controllers.
const (
	// RisingCopies adds replicas of an adapter as soon as its request rate rises; without it
	// only the rate over several seconds counts.
	RisingCopies Mechanism = "RisingCopies"
	// Homes makes each adapter prefer the same few engines.
	Homes Mechanism = "Homes"
	// WarmFirst prefers engines that keep an adapter's weights.
	WarmFirst Mechanism = "WarmFirst"
	// LearntStore estimates how long a load from the weight store takes, and how many
	// concurrent loads the store sustains.
	LearntStore Mechanism = "LearntStore"
	// LearntHost estimates how many adapters' weights an engine keeps.
	LearntHost Mechanism = "LearntHost"
	// SpareReplicas grants a spare replica only if the adapter's demand justifies an adapter slot.
	SpareReplicas Mechanism = "SpareReplicas"
	// EarlyElections lets members vote soon after they start.
	EarlyElections Mechanism = "EarlyElections"
)

// GatewayMechanisms returns the mechanisms of gateways in alphabetical order.
func GatewayMechanisms() []Mechanism {
	return []Mechanism{BudgetMargin, Dispensing, Ejection, FairShares, FullHolder, LocalRefusals, Pacing, PriorityOrder, SpareRequests, TwoChoices, UnevenServers, ZonePenalty}
}

// ControllerMechanisms returns the mechanisms of controllers in alphabetical order.
func ControllerMechanisms() []Mechanism {
	return []Mechanism{EarlyElections, Homes, LearntHost, LearntStore, RisingCopies, SpareReplicas, UnevenServers, WarmFirst}
}

// Disabled is the set of mechanisms that are switched off. The zero value is the empty set.
type Disabled struct{ mechanisms []Mechanism }

// Disable returns a set with these mechanisms switched off.
func Disable(names ...Mechanism) Disabled { return Disabled{mechanisms: names} }

// Has reports whether a mechanism is switched off.
func (o Disabled) Has(m Mechanism) bool { return slices.Contains(o.mechanisms, m) }

// Empty reports whether all mechanisms are on.
func (o Disabled) Empty() bool { return len(o.mechanisms) == 0 }

// String returns the names in the order in which they were added.
func (o Disabled) String() string { return joinNames(o.mechanisms) }

func joinNames(names []Mechanism) string {
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, string(name))
	}
	return strings.Join(texts, ", ")
}

// MeasureOnly must be set as Admit to switch any mechanism off, so that a leftover line of an
// experiment can't degrade a production system.
const MeasureOnly = "MeasureOnly"

// Settings are the experiment settings of a program.
type Settings struct {
	Off   []string `help:"Mechanisms that are switched off, to measure what each is worth (DECISIONS.md). Empty in production."`
	Admit string   `help:"Must be MeasureOnly where anything is switched off."`
}

// Problem describes an invalid value of one settings key.
type Problem struct{ Key, Text string }

// Parse returns the mechanisms that are switched off, and all problems of the settings. Known
// are the mechanisms that the program supports.
func (s Settings) Parse(known []Mechanism) (Disabled, []Problem) {
	var off Disabled
	var problems []Problem
	for _, text := range s.Off {
		m := Mechanism(text)
		switch {
		case !slices.Contains(known, m):
			problems = append(problems, Problem{"Off", fmt.Sprintf("%q can't be switched off; it may be %s", text, joinNames(known))})
		case off.Has(m):
			problems = append(problems, Problem{"Off", fmt.Sprintf("%q stands twice", text)})
		default:
			off.mechanisms = append(off.mechanisms, m)
		}
	}
	if len(s.Off) > 0 && s.Admit != MeasureOnly {
		problems = append(problems, Problem{"Admit", "it must be " + MeasureOnly + " where anything is switched off"})
	}
	return off, problems
}
