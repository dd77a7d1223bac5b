package socketprober_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/socketprober"
)

func BenchmarkProbe(b *testing.B) {
	_, conn := connect(qt.New(b))
	for b.Loop() {
		socketprober.Probe(conn)
	}
}
