package loadsum

import (
	"testing"
	"time"
)

func BenchmarkTotal(b *testing.B) {
	now := time.Unix(0, 0)
	sum := NewSum()
	for source := range uint64(20) {
		var loads []Load
		for key := range uint32(100) {
			loads = append(loads, Load{key + uint32(source), 10 * key})
		}
		sum.Put(source, loads, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		sum.Total(now)
	}
}

func BenchmarkExcess(b *testing.B) {
	services := &Services{ByReplica: map[uint32]string{}, Replicas: map[string]int{"a": 200}}
	var loads []Load
	for key := range uint32(200) {
		services.ByReplica[key] = "a"
		loads = append(loads, Load{key, 1000 * key})
	}
	b.ReportAllocs()
	for b.Loop() {
		Excess(loads, services)
	}
}

func BenchmarkEncodeAndDecode(b *testing.B) {
	loads := make([]Load, 96)
	b.ReportAllocs()
	for b.Loop() {
		Decode(Encode(loads))
	}
}
