package contractparser_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/contractparser"
	"bronzelead.example/pkg/wire"
)

func contract() *wire.Contract {
	return &wire.Contract{
		Customer: "volantes", Version: 7, RequestsAtOnce: 64, QueueLength: 200,
		DeadlineNs: int64(30 * time.Second), KeepKeysNs: int64(24 * time.Hour),
		Classes:  []*wire.ClassTerms{{Name: "counter", Priority: 10}, {Name: "night", Priority: -1}},
		Adapters: []*wire.AdapterTerms{{Name: "proof", BaseModel: "base", Versions: []string{"1", "2"}, Class: "counter", NonIdempotent: true}},
		Services: []*wire.ServiceTerms{{Name: "orders", NonIdempotentMethods: []string{"POST", "PUT"}, KeyFrom: "Header:X-Order"}},
		Keys:     []*wire.KeyTerms{{Name: "shop", Digest: "00ff"}},
	}
}

func TestWriteAndRead(t *testing.T) {
	c := qt.New(t)
	got, faults := contractparser.Parse([]byte(contractparser.Format(contract())))
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(proto.Equal(got, contract()), qt.IsTrue, qt.Commentf("%v", got))
}

func TestFaults(t *testing.T) {
	cases := map[string]struct{ text, fault string }{
		"an unknown section":     {text: "[Contrat]\n", fault: "unknown section"},
		"an unknown key":         {text: "[Contract]\nCustomr = x\n", fault: "[Contract] Customr: unknown key"},
		"a number that is none":  {text: "[Contract]\nRequestsAtOnce = many\n", fault: `"many" is no whole number`},
		"a negative count":       {text: "[Contract]\nRequestsAtOnce = -1\n", fault: `"-1" is no whole number`},
		"a duration in words":    {text: "[Contract]\nDeadline = soon\n", fault: `"soon" is no duration`},
		"neither true nor false": {text: "[Adapter a]\nNonIdempotent = maybe\n", fault: `"maybe" is not true or false`},
		"a key without section":  {text: "Customer = x\n", fault: "before the first section"},
		"not INI":                {text: "[Contract\n", fault: "can't be read"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, faults := contractparser.Parse([]byte(tc.text))
			c.Assert(faults, qt.HasLen, 1)
			c.Assert(faults[0], qt.Contains, tc.fault)
		})
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(contractparser.Format(contract())))
	f.Add([]byte("[Contract]\nDeadline = 1h1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, faults := contractparser.Parse(data)
		if got == nil && len(faults) == 0 {
			t.Fatal("neither a contract nor a fault")
		}
	})
}
