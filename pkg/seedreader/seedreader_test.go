package seedreader_test

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/configurer"
	"bronzelead.example/pkg/seedreader"
)

// The file is read again without a signal only while no controller is in contact, and one with faults changes nothing.
func TestSeeds(t *testing.T) {
	old, next := []string{"10.0.0.1:80"}, []string{"10.0.0.2:80"}
	for name, test := range map[string]struct {
		lost   bool
		faults []configurer.Fault
		after  time.Duration
		reload bool
		want   []string
	}{
		"in contact":           {after: time.Hour, want: old},
		"lost":                 {lost: true, after: time.Second, want: next},
		"lost, read just now":  {lost: true, after: 999 * time.Millisecond, want: old},
		"lost, faulty":         {lost: true, after: time.Hour, faults: []configurer.Fault{{Problem: "p"}}, want: old},
		"in contact, reloaded": {reload: true, want: next},
		"reloaded, faulty":     {reload: true, faults: []configurer.Fault{{Problem: "p"}}, want: old},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			r := &seedreader.Reader{
				Clock: clock, Log: slog.New(slog.DiscardHandler), Lost: func() bool { return test.lost },
				Read: func() ([]string, []configurer.Fault) { return next, test.faults },
			}
			r.Init(old)
			clock.Advance(test.after)
			if test.reload {
				r.Reload()
			}
			qt.New(t).Check(r.Seeds(), qt.DeepEquals, test.want)
		})
	}
}
