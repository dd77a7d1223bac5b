package originrecorder

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func begin() time.Time { return time.Unix(1000, 0) }

const remembered = 10 * time.Second

func TestOrigins(t *testing.T) {
	v1, v2 := Origin{"s", "v1"}, Origin{"s", "v2"}
	type step struct {
		after  time.Duration
		origin Origin
	}
	for name, test := range map[string]struct {
		steps []step
		after time.Duration
		want  Origin
		known Knowledge
	}{
		"never recorded":             {nil, 0, Origin{}, Unknown},
		"recorded":                   {[]step{{0, v1}}, time.Second, v1, Known},
		"until its time is over":     {[]step{{0, v1}}, remembered - 1, v1, Known},
		"its time is over":           {[]step{{0, v1}}, remembered, Origin{}, Unknown},
		"recorded again, so longer":  {[]step{{0, v1}, {5 * time.Second, v1}}, 12 * time.Second, v1, Known},
		"two versions":               {[]step{{0, v1}, {time.Second, v2}}, 2 * time.Second, Origin{}, Ambiguous},
		"two versions, then again":   {[]step{{0, v1}, {0, v2}, {0, v1}}, time.Second, Origin{}, Ambiguous},
		"two services":               {[]step{{0, v1}, {0, Origin{"other", "v1"}}}, time.Second, Origin{}, Ambiguous},
		"another after its time":     {[]step{{0, v1}, {remembered, v2}}, remembered + time.Second, v2, Known},
		"a version that states none": {[]step{{0, Origin{"s", ""}}}, time.Second, Origin{"s", ""}, Known},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			y := &Recorder{Max: 4}
			key := KeyOf("attempt")
			for _, s := range test.steps {
				y.Record(begin().Add(s.after), key, s.origin, remembered)
			}
			y.Prune(begin().Add(test.after))
			got, known := y.Find(begin().Add(test.after), key)
			c.Check(got, qt.Equals, test.want)
			c.Check(known, qt.Equals, test.known)
			_, known = y.Find(begin().Add(test.after), KeyOf("another"))
			c.Check(known, qt.Equals, Unknown)
		})
	}
}

// A flood of ids drops the oldest origins: they are unknown, and none is ever wrong.
func TestFloodOfIDsDropsTheOldest(t *testing.T) {
	c := qt.New(t)
	y := &Recorder{Max: 100}
	random := rand.New(rand.NewPCG(1, 2))
	now := begin()
	truth := map[Key]Origin{}
	for i := range 20_000 {
		now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
		key := KeyOf(fmt.Sprint(random.IntN(i + 1)))
		if _, ok := truth[key]; !ok {
			truth[key] = Origin{"s", fmt.Sprint("v", random.IntN(3))}
		}
		y.Record(now, key, truth[key], time.Duration(1+random.IntN(60))*time.Second)
		for other, want := range truth {
			if got, known := y.Find(now, other); known == Known && got != want {
				t.Fatalf("%v instead of %v", got, want)
			}
			break
		}
		if random.IntN(100) == 0 {
			y.Prune(now)
		}
		c.Assert(y.Len() <= 100, qt.IsTrue)
		c.Assert(len(y.queue) <= 4*100+100, qt.IsTrue)
	}
	c.Check(y.TakeDropped() > 0, qt.IsTrue)
	y.Prune(now.Add(time.Hour))
	c.Check(y.Len(), qt.Equals, 0)
	c.Check(y.queue, qt.HasLen, 0)
}

// The ids of callers may be long and differ in a single character.
func TestKeysDiffer(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("x", 10_000)
	c.Check(KeyOf(long), qt.Not(qt.Equals), KeyOf(long+"x"))
	c.Check(KeyOf("a"), qt.Not(qt.Equals), KeyOf("A"))
	c.Check(KeyOf("a"), qt.Equals, KeyOf("a"))
}

func BenchmarkRecord(b *testing.B) {
	y := &Recorder{Max: 1 << 16}
	now := begin()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		y.Record(now, KeyOf(fmt.Sprint(i)), Origin{"s", "v1"}, remembered)
		if i%1000 == 0 {
			y.Prune(now)
		}
	}
}
