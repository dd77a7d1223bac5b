package membershipplanner

import (
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// parseMembers parses "a/1 b/1": in each a name and an incarnation of its disk.
func parseMembers(text string) []*wire.Member {
	var all []*wire.Member
	for _, id := range strings.Fields(text) {
		name, _, _ := strings.Cut(id, "/")
		all = append(all, &wire.Member{Id: id, Name: name})
	}
	return all
}

func formatMembers(members []*wire.Member) string {
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.GetId()
	}
	return strings.Join(ids, " ")
}

func TestNextConfiguration(t *testing.T) {
	for name, test := range map[string]struct {
		voters, learners, joining string
		// behind have not caught up; silent do not answer.
		behind, silent string
		// want is the next voters and learners, or "" for no change.
		want string
	}{
		"no change":                                           {"a/1 b/1 c/1", "", "", "", "", ""},
		"a new member joins as a learner":                     {"a/1 b/1 c/1", "", "d/1", "", "", "a/1 b/1 c/1 | d/1"},
		"a learner that lags is not promoted":                 {"a/1 b/1 c/1", "d/1", "d/1", "d/1", "", ""},
		"a learner that has caught up is promoted":            {"a/1 b/1 c/1", "d/1", "d/1", "", "", "a/1 b/1 c/1 d/1 | "},
		"no promotion beyond MaxVoters":                       {"a/1 b/1 c/1 d/1 e/1", "f/1", "f/1", "", "", ""},
		"a silent voter is removed for a learner":             {"a/1 b/1 c/1 d/1 e/1", "f/1", "f/1", "", "e/1", "a/1 b/1 c/1 d/1 | f/1"},
		"not for a learner that lags":                         {"a/1 b/1 c/1 d/1 e/1", "f/1", "f/1", "f/1", "e/1", ""},
		"not for a silent learner":                            {"a/1 b/1 c/1 d/1 e/1", "f/1", "f/1", "", "e/1 f/1", ""},
		"a silent voter stays without a successor":            {"a/1 b/1 c/1 d/1 e/1", "", "", "", "e/1", ""},
		"the leader is not removed":                           {"a/1 b/1 c/1 d/1 e/1", "f/1", "f/1", "", "a/1", ""},
		"a voter with a lost disk is removed":                 {"a/1 b/1 c/1", "c/2", "c/2", "", "", "a/1 b/1 | c/2"},
		"its successor is promoted":                           {"a/1 b/1", "c/2", "c/2", "", "", "a/1 b/1 c/2 | "},
		"a departed learner is removed":                       {"a/1 b/1 c/1 d/1 e/1", "f/1", "", "", "f/1", "a/1 b/1 c/1 d/1 e/1 | "},
		"an earlier incarnation that never voted is replaced": {"a/1 b/1 c/1", "d/1", "d/2", "d/1", "", "a/1 b/1 c/1 | d/2"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			behind, silent := strings.Fields(test.behind), strings.Fields(test.silent)
			next := NextConfiguration(ClusterState{
				Configuration: &wire.Configuration{Voters: parseMembers(test.voters), Learners: parseMembers(test.learners)},
				Joining:       parseMembers(test.joining), Leader: "a/1", MaxVoters: 5,
				Admitted: func(string) bool { return true },
				CaughtUp: func(id string) bool { return !slices.Contains(behind, id) },
				Silent:   func(id string) bool { return slices.Contains(silent, id) },
			})
			got := ""
			if next != nil {
				got = formatMembers(next.GetVoters()) + " | " + formatMembers(next.GetLearners())
			}
			c.Check(got, qt.Equals, test.want)
		})
	}
}

// However the members change, each step concerns one voter at most, and never leaves fewer
// voters that answer than a majority needs if it had one before.
func TestChangesKeepTheMajority(t *testing.T) {
	c := qt.New(t)
	config := &wire.Configuration{Voters: parseMembers("a/1 b/1 c/1 d/1 e/1")}
	silent := []string{"d/1", "e/1"}
	joining := parseMembers("f/1 g/1")
	for range 12 {
		next := NextConfiguration(ClusterState{
			Configuration: config, Joining: joining, Leader: "a/1", MaxVoters: 5,
			Admitted: func(string) bool { return true }, CaughtUp: func(string) bool { return true },
			Silent: func(id string) bool { return slices.Contains(silent, id) },
		})
		if next == nil {
			break
		}
		changed := 0
		for _, v := range next.GetVoters() {
			if !hasID(config.GetVoters(), v.GetId()) {
				changed++
			}
		}
		for _, v := range config.GetVoters() {
			if !hasID(next.GetVoters(), v.GetId()) {
				changed++
			}
		}
		c.Assert(changed <= 1, qt.IsTrue)
		answering := 0
		for _, v := range next.GetVoters() {
			if !slices.Contains(silent, v.GetId()) {
				answering++
			}
		}
		c.Assert(answering > len(next.GetVoters())/2, qt.IsTrue)
		config = next
	}
	c.Check(formatMembers(config.GetVoters()), qt.Equals, "a/1 b/1 c/1 f/1 g/1")
}
