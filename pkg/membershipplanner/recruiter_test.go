package membershipplanner

import (
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// members turns "a/1 b/1" into members: a name and an incarnation of its disk.
func list(text string) []*wire.Member {
	var all []*wire.Member
	for _, id := range strings.Fields(text) {
		name, _, _ := strings.Cut(id, "/")
		all = append(all, &wire.Member{Id: id, Name: name})
	}
	return all
}

func text(members []*wire.Member) string {
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.GetId()
	}
	return strings.Join(ids, " ")
}

func TestNext(t *testing.T) {
	for name, test := range map[string]struct {
		voters, learners, joining string
		// behind have not caught up; silent do not answer.
		behind, silent string
		// want is the next voters and learners, or "" for no change.
		want string
	}{
		"nothing to do":                          {"a/1 b/1 c/1", "", "", "", "", ""},
		"one asks to join":                       {"a/1 b/1 c/1", "", "d/1", "", "", "a/1 b/1 c/1 | d/1"},
		"it has not caught up":                   {"a/1 b/1 c/1", "d/1", "d/1", "d/1", "", ""},
		"it has":                                 {"a/1 b/1 c/1", "d/1", "d/1", "", "", "a/1 b/1 c/1 d/1 | "},
		"there are enough voters":                {"a/1 b/1 c/1 d/1 e/1", "f/1", "f/1", "", "", ""},
		"a silent voter makes room":              {"a/1 b/1 c/1 d/1 e/1", "f/1", "f/1", "", "e/1", "a/1 b/1 c/1 d/1 | f/1"},
		"not for one that has not caught up":     {"a/1 b/1 c/1 d/1 e/1", "f/1", "f/1", "f/1", "e/1", ""},
		"not for one that is silent too":         {"a/1 b/1 c/1 d/1 e/1", "f/1", "f/1", "", "e/1 f/1", ""},
		"a silent voter stays without successor": {"a/1 b/1 c/1 d/1 e/1", "", "", "", "e/1", ""},
		"the leader stays":                       {"a/1 b/1 c/1 d/1 e/1", "f/1", "f/1", "", "a/1", ""},
		"a lost disk is replaced":                {"a/1 b/1 c/1", "c/2", "c/2", "", "", "a/1 b/1 | c/2"},
		"and then votes":                         {"a/1 b/1", "c/2", "c/2", "", "", "a/1 b/1 c/2 | "},
		"a learner that left is forgotten":       {"a/1 b/1 c/1 d/1 e/1", "f/1", "", "", "f/1", "a/1 b/1 c/1 d/1 e/1 | "},
		"an earlier disk that never voted":       {"a/1 b/1 c/1", "d/1", "d/2", "d/1", "", "a/1 b/1 c/1 | d/2"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			behind, silent := strings.Fields(test.behind), strings.Fields(test.silent)
			next := NextConfiguration(ClusterState{
				Configuration: &wire.Configuration{Voters: list(test.voters), Learners: list(test.learners)},
				Joining:       list(test.joining), Leader: "a/1", MaxVoters: 5,
				Admitted: func(string) bool { return true },
				CaughtUp: func(id string) bool { return !slices.Contains(behind, id) },
				Silent:   func(id string) bool { return slices.Contains(silent, id) },
			})
			got := ""
			if next != nil {
				got = text(next.GetVoters()) + " | " + text(next.GetLearners())
			}
			c.Check(got, qt.Equals, test.want)
		})
	}
}

// However the members come and go, each change concerns one voter at most, and never
// leaves fewer voters that answer than a majority needs if it had one before.
func TestEachChangeKeepsTheMajority(t *testing.T) {
	c := qt.New(t)
	config := &wire.Configuration{Voters: list("a/1 b/1 c/1 d/1 e/1")}
	silent := []string{"d/1", "e/1"}
	joining := list("f/1 g/1")
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
	c.Check(text(config.GetVoters()), qt.Equals, "a/1 b/1 c/1 f/1 g/1")
}
