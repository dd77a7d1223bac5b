package router_test

import (
	"fmt"
	"testing"

	"bronzelead.example/pkg/router"
	"bronzelead.example/pkg/wire"
)

// BenchmarkPick measures choosing an engine for a request among n replicas of its adapter,
// including its beginning and end.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			var engines []*wire.Backend
			for i := range n {
				engines = append(engines, engine(fmt.Sprint("e", i), "here", 3))
			}
			r := newRouter(engines...)
			req := router.Request{Adapter: "a@1", Prefix: 7}
			for b.Loop() {
				c := r.Pick(now(), req)
				r.Begin(now(), req, c)
				r.End(now(), c, false)
			}
		})
	}
}
