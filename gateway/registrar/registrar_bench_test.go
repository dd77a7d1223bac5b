package registrar_test

import (
	"fmt"
	"testing"

	"bronzelead.example/gateway/registrar"
	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/wire"
)

// BenchmarkApply measures one changed contract of 100 adapters among many customers.
func BenchmarkApply(b *testing.B) {
	for _, customers := range []int{2, 200, 2000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			r := &registrar.Registrar{}
			var all []*wire.Contract
			for i := range customers {
				all = append(all, contract(i))
			}
			r.Apply(all)
			for b.Loop() {
				r.Apply(all[:1])
			}
		})
	}
}

func contract(i int) *wire.Contract {
	c := &wire.Contract{Customer: fmt.Sprint("customer-", i)}
	for a := range 100 {
		c.Adapters = append(c.Adapters, &wire.AdapterTerms{Name: fmt.Sprint("adapter-", i, "-", a), BaseModel: "base", Versions: []string{"1"}})
	}
	c.Keys = []*wire.KeyTerms{{Name: "k", Digest: authenticator.DigestOf(c.GetCustomer()).String()}}
	return c
}
