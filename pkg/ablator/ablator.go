// Package ablator names the mechanisms that can be switched off, to measure what each is
// worth. A set of them is empty in production.
package ablator

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a way of deciding that can be switched off.
type Mechanism string

// The mechanisms of gateways.
const (
	// TwoChoices takes the less loaded of two backend servers picked at random; without it
	// the least loaded of all is taken.
	TwoChoices Mechanism = "TwoChoices"
	// Ejection leaves out backend servers whose requests fail.
	Ejection Mechanism = "Ejection"
	// ZonePenalty prefers backend servers in a gateway's own availability zone.
	ZonePenalty Mechanism = "ZonePenalty"
	// FullHolder lets a request wait for an engine that holds its adapter and is full,
	// before it goes to one that a try has failed at.
	FullHolder Mechanism = "FullHolder"
	// BudgetMargin leaves a part of the budget of repeats unused.
	BudgetMargin Mechanism = "BudgetMargin"
	// PriorityOrder serves urgent requests first.
	PriorityOrder Mechanism = "PriorityOrder"
	// Pacing holds prompts back that an engine can't read without a long pause.
	Pacing Mechanism = "Pacing"
	// Dispensing gives out the slots of plain services' backend servers that are contended.
	Dispensing Mechanism = "Dispensing"
)

// The mechanisms of controllers.
const (
	// RisingCopies gives an adapter copies as soon as its requests rise; without it the
	// rate of some seconds counts alone.
	RisingCopies Mechanism = "RisingCopies"
	// Homes lets each adapter prefer the same few engines.
	Homes Mechanism = "Homes"
	// WarmFirst prefers engines that keep a copy of an adapter's weights.
	WarmFirst Mechanism = "WarmFirst"
	// LearntStore learns how long a load from the weight store takes and how many it
	// carries at once.
	LearntStore Mechanism = "LearntStore"
	// LearntHost learns how many copies of weights an engine keeps.
	LearntHost Mechanism = "LearntHost"
	// EarlyElections lets members vote soon after a start.
	EarlyElections Mechanism = "EarlyElections"
)

// GatewayMechanisms returns the mechanisms of gateways, in order.
func GatewayMechanisms() []Mechanism {
	return []Mechanism{BudgetMargin, Dispensing, Ejection, FullHolder, Pacing, PriorityOrder, TwoChoices, ZonePenalty}
}

// ControllerMechanisms returns the mechanisms of controllers, in order.
func ControllerMechanisms() []Mechanism {
	return []Mechanism{EarlyElections, Homes, LearntHost, LearntStore, RisingCopies, WarmFirst}
}

// Disabled holds the mechanisms that are switched off. The zero value has none.
type Disabled struct{ names []Mechanism }

// Disable returns a set that has these mechanisms switched off.
func Disable(names ...Mechanism) Disabled { return Disabled{names: names} }

// Has reports whether a mechanism is switched off.
func (o Disabled) Has(m Mechanism) bool { return slices.Contains(o.names, m) }

// Empty reports whether all mechanisms are on.
func (o Disabled) Empty() bool { return len(o.names) == 0 }

// String returns the names, in the order in which they were given.
func (o Disabled) String() string { return join(o.names) }

func join(names []Mechanism) string {
	texts := make([]string, 0, len(names))
	for _, name := range names {
		texts = append(texts, string(name))
	}
	return strings.Join(texts, ", ")
}

// MeasureOnly is the word without which no mechanism may be switched off, so that no
// forgotten line of an experiment makes a system in production worse.
const MeasureOnly = "MeasureOnly"

// Settings are a program's settings of an experiment.
type Settings struct {
	Off   []string `help:"Mechanisms that are switched off, to measure what each is worth (DECISIONS.md). Empty in production."`
	Admit string   `help:"Must be MeasureOnly where anything is switched off."`
}

// Problem is what is wrong with one key of the settings.
type Problem struct{ Key, Text string }

// Parse returns what is switched off, and all problems of the settings. Known are the
// mechanisms that the program has.
func (s Settings) Parse(known []Mechanism) (Disabled, []Problem) {
	var off Disabled
	var problems []Problem
	for _, text := range s.Off {
		m := Mechanism(text)
		switch {
		case !slices.Contains(known, m):
			problems = append(problems, Problem{"Off", fmt.Sprintf("%q can't be switched off; it may be %s", text, join(known))})
		case off.Has(m):
			problems = append(problems, Problem{"Off", fmt.Sprintf("%q stands twice", text)})
		default:
			off.names = append(off.names, m)
		}
	}
	if len(s.Off) > 0 && s.Admit != MeasureOnly {
		problems = append(problems, Problem{"Admit", "it must be " + MeasureOnly + " where anything is switched off"})
	}
	return off, problems
}
