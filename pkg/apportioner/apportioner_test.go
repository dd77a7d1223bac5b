package apportioner

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Any instance has room for a request with a body of the usual limit, and its connections fit into its memory.
func TestInstancesOfAnySize(t *testing.T) {
	const (
		bodyLimit   = 4 * megabyte
		callerShare = 20
		divisor     = 2
	)
	for name, r := range map[string]Resources{
		"small":                {64, 1024},
		"few file descriptors": {284, minFiles},
		"usual":                {284, 4100},
		"large":                {1024, 65536},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			connections := r.Connections(divisor)
			c.Check(r.Problems(), qt.HasLen, 0)
			c.Check(connections >= minConnections, qt.IsTrue)
			c.Check(connections <= max(r.MaxFiles/divisor, minConnections), qt.IsTrue)
			fixed := int64(connections) * connectionBytes
			c.Check(fixed <= r.Memory(connectionPercent)/divisor, qt.IsTrue)
			c.Check(fixed+r.Memory(callerShare) < r.HeapLimit(), qt.IsTrue)
			// A body is joined from its segments once it has arrived, and large bodies leave a quarter to small ones.
			c.Check(r.Memory(callerShare)*3/4 >= 2*bodyLimit, qt.IsTrue)
			c.Check(int64(r.SocketBuffer(connections)*connections) <= max(r.Memory(socketPercent), int64(minSocketBytes*connections)), qt.IsTrue)
		})
	}
}

func TestProblems(t *testing.T) {
	for name, test := range map[string]struct {
		resources Resources
		keys      []string
	}{
		"none":                 {Resources{64, 64}, nil},
		"little memory":        {Resources{63, 64}, []string{"MemoryMB"}},
		"few file descriptors": {Resources{64, 63}, []string{"MaxFiles"}},
		"not set":              {Resources{}, []string{"MemoryMB", "MaxFiles"}},
		"negative":             {Resources{-1, 64}, []string{"MemoryMB"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			problems := test.resources.Problems()
			c.Check(problems, qt.HasLen, len(test.keys))
			for _, key := range test.keys {
				c.Check(problems[key], qt.Not(qt.Equals), "")
			}
		})
	}
}
