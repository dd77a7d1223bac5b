package validator_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/validator"
	"bronzelead.example/pkg/wire"
)

func contract() *wire.Contract {
	return &wire.Contract{
		Customer: "volantes", RequestsAtOnce: 64, QueueLength: 200,
		DeadlineNs: int64(30 * time.Second), KeepKeysNs: int64(24 * time.Hour),
		Classes:  []*wire.ClassTerms{{Name: "counter", Priority: 10}},
		Adapters: []*wire.AdapterTerms{{Name: "proof", BaseModel: "base", Versions: []string{"1"}, Class: "counter"}},
		Services: []*wire.ServiceTerms{{Name: "orders", NonIdempotentMethods: []string{"POST"}, KeyFrom: "Field:order"}},
		Keys:     []*wire.KeyTerms{{Name: "shop", Digest: strings.Repeat("0f", 32)}},
	}
}

func TestContract(t *testing.T) {
	cases := map[string]struct {
		mutate func(k *wire.Contract)
		fault  string
	}{
		"right":                                 {mutate: func(*wire.Contract) {}},
		"no customer":                           {mutate: func(k *wire.Contract) { k.Customer = "" }, fault: "Customer"},
		"no concurrent requests":                {mutate: func(k *wire.Contract) { k.RequestsAtOnce = 0 }, fault: "RequestsAtOnce"},
		"a deadline above the maximum":          {mutate: func(k *wire.Contract) { k.DeadlineNs = int64(time.Hour) }, fault: "Deadline"},
		"no deadline":                           {mutate: func(k *wire.Contract) { k.DeadlineNs = 0 }, fault: "Deadline"},
		"keys kept for less than two deadlines": {mutate: func(k *wire.Contract) { k.KeepKeysNs = int64(time.Minute) - 1 }, fault: "KeepKeys"},
		"an unknown class":                      {mutate: func(k *wire.Contract) { k.Adapters[0].Class = "night" }, fault: "class \"night\""},
		"no version":                            {mutate: func(k *wire.Contract) { k.Adapters[0].Versions = nil }, fault: "versions"},
		"an at sign in a name":                  {mutate: func(k *wire.Contract) { k.Adapters[0].Name = "a@1" }, fault: "is no name"},
		"a name with a newline":                 {mutate: func(k *wire.Contract) { k.Adapters[0].Name = "a\n" }, fault: "is no name"},
		"an adapter twice":                      {mutate: func(k *wire.Contract) { k.Adapters = append(k.Adapters, k.Adapters[0]) }, fault: "twice"},
		"a method in lower case":                {mutate: func(k *wire.Contract) { k.Services[0].NonIdempotentMethods = []string{"post"} }, fault: "no method"},
		"an unknown KeyFrom":                    {mutate: func(k *wire.Contract) { k.Services[0].KeyFrom = "Body" }, fault: "KeyFrom"},
		"a key instead of a digest":             {mutate: func(k *wire.Contract) { k.Keys[0].Digest = "secret" }, fault: "no SHA-256"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			k := contract()
			tc.mutate(k)
			faults := validator.Contract(k)
			if tc.fault == "" {
				c.Assert(faults, qt.HasLen, 0)
				return
			}
			c.Assert(strings.Join(faults, "\n"), qt.Contains, tc.fault)
		})
	}
}
