package ablator

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSettings(t *testing.T) {
	for name, test := range map[string]struct {
		settings Settings
		off      string
		keys     []string
	}{
		"nothing is off":                 {Settings{}, "", nil},
		"one is off":                     {Settings{Off: []string{"Homes"}, Admit: MeasureOnly}, "Homes", nil},
		"two are off":                    {Settings{Off: []string{"Homes", "WarmFirst"}, Admit: MeasureOnly}, "Homes, WarmFirst", nil},
		"Admit is missing":               {Settings{Off: []string{"Homes"}}, "Homes", []string{"Admit"}},
		"Admit is wrong":                 {Settings{Off: []string{"Homes"}, Admit: "yes"}, "Homes", []string{"Admit"}},
		"unknown":                        {Settings{Off: []string{"Home"}, Admit: MeasureOnly}, "", []string{"Off"}},
		"a mechanism of another program": {Settings{Off: []string{"Pacing"}, Admit: MeasureOnly}, "", []string{"Off"}},
		"twice":                          {Settings{Off: []string{"Homes", "Homes"}, Admit: MeasureOnly}, "Homes", []string{"Off"}},
		"all faults are reported":        {Settings{Off: []string{"x", "y"}}, "", []string{"Off", "Off", "Admit"}},
		"Admit alone is allowed":         {Settings{Admit: MeasureOnly}, "", nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			off, problems := test.settings.Parse(ControllerMechanisms())
			var keys []string
			for _, p := range problems {
				keys = append(keys, p.Key)
			}
			c.Check(keys, qt.DeepEquals, test.keys)
			c.Check(off.String(), qt.Equals, test.off)
			c.Check(off.Empty(), qt.Equals, test.off == "")
		})
	}
}

func TestDisableSwitchesOffOnlyWhatIsNamed(t *testing.T) {
	c := qt.New(t)
	off := Disable(Ejection)
	c.Check(off.Has(Ejection), qt.IsTrue)
	c.Check(off.Has(Pacing), qt.IsFalse)
	c.Check(Disabled{}.Has(Ejection), qt.IsFalse)
}
