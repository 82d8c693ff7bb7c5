package prefixindex

import (
	"fmt"
	"testing"
)

// filledIndex is an index in which some replicas hold prompts with shared parts.
func filledIndex() *Index {
	index := NewSizedIndex(20000)
	for i := range 20000 {
		shared := uint64(i / 8)
		index.RecordSent(fmt.Sprintf("replica-%d", i%50), 1<<20, benchmarkChain(shared, uint64(i/2)), fmt.Sprintf("route-%d", i%20))
	}
	return index
}

func benchmarkChain(shared, own uint64) *Chain {
	return chain(Part{shared / 8, 512}, Part{1<<32 + shared, 512}, Part{1<<40 + own, 256})
}

func BenchmarkHolders(b *testing.B) {
	index := filledIndex()
	prompt := benchmarkChain(17, 70)
	var candidates [MaxHolders]string
	b.ReportAllocs()
	for b.Loop() {
		index.Holders(prompt, candidates[:0], anyone)
	}
}

func BenchmarkMatched(b *testing.B) {
	index := filledIndex()
	prompt := benchmarkChain(17, 70)
	b.ReportAllocs()
	for b.Loop() {
		index.Matched("replica-3", prompt)
	}
}

func BenchmarkSent(b *testing.B) {
	index := filledIndex()
	prompts := make([]*Chain, 4096)
	for i := range prompts {
		prompts[i] = benchmarkChain(uint64(i/8), uint64(1<<30+i/2))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		index.RecordSent("replica-3", 1<<20, prompts[i%len(prompts)], "route-3")
	}
}

func BenchmarkNewChain(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		benchmarkChain(17, 70)
	}
}

func BenchmarkParseParts(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		ParseParts("5c1e07a2:800,91bd3f06:410,0badcafe:17")
	}
}
