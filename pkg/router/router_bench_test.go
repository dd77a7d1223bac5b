package router_test

import (
	"fmt"
	"testing"

	"bronzelead.example/pkg/router"
	"bronzelead.example/pkg/wire"
)

// BenchmarkPick times the choice of an engine for a request among so many replicas of
// its adapter, with its beginning and its end.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			var engines []*wire.Backend
			for i := range n {
				engines = append(engines, engine(fmt.Sprint("e", i), "here", 3))
			}
			r := newRouter(engines...)
			want := router.Request{Adapter: "a@1", Prefix: 7}
			for b.Loop() {
				c := r.Pick(now(), want)
				r.Begin(now(), want, c)
				r.End(now(), c, false)
			}
		})
	}
}
