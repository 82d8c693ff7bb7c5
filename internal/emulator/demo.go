package emulator

// Demo is the experiment that a newcomer sees first: three kinds of request, one of
// them streamed by model replicas, on one controller and two routers.
func Demo() (*Experiment, error) {
	return Parse([]byte(`
name: demo
seed: 1
duration_s: 5
fleet: {controllers: 1, routers: 2, zones: [north, south]}
services:
  - {name: desk, replicas: 2, slots: 16, queue: 32, work_ms: 15}
  - {name: model, replicas: 3, slots: 16, queue: 32, engine: {memory_tokens: 60000}}
kinds:
  - {name: lookup, service: desk, type: idempotent, per_s: 40, count: 160, aim_ms: 1000, timeout_ms: 10000}
  - {name: order, service: desk, type: non_idempotent, per_s: 20, count: 80, aim_ms: 1000, timeout_ms: 10000}
  - {name: chat, service: model, type: streaming, per_s: 15, count: 60, aim_ms: 2000, timeout_ms: 20000, gap_ms: 1000, tokens_in: 800, tokens_out: 24, prefixes: 6, skew: 1.3}
`))
}
