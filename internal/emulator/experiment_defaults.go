package emulator

import "time"

// Defaults of what an experiment can set.
const (
	defaultReadyTimeout   = 10 * time.Second       // replicas and daemons must be up by then
	defaultListLag        = 300 * time.Millisecond // the platform's list runs this much behind
	defaultListRatePerS   = 40                     // calls a second that the platform takes
	defaultListPage       = 50                     // entries of a page of its list
	defaultSlots          = 16                     // requests a replica runs at once
	defaultQueue          = 16                     // requests it queues beyond
	defaultWork           = 15 * time.Millisecond  // work of a request without an engine
	defaultMaxConnections = 200                    // connections that a replica takes
	defaultStep           = 8 * time.Millisecond   // batch step: a small model's on one accelerator, about 120 tokens a second
	defaultStepEach       = 150 * time.Microsecond // what a further request adds to it
	defaultPrefillPerS    = 12000                  // prompt tokens a second
	defaultChunkTokens    = 1024                   // prompt tokens between two tokens of the others
	defaultMemoryTokens   = 60000                  // tokens of memory
	defaultTimeout        = 10 * time.Second       // deadline of a request
	defaultLatencyTarget  = 1 * time.Second        // time within which an answer is in time
	defaultEventGap       = 500 * time.Millisecond // pause between events that is still in time
	defaultDurationS      = 10                     // s
	defaultModel          = "m"
	defaultAttempts       = 2
	defaultTokensOut      = 8  // tokens
	defaultTokensIn       = 64 // tokens
	defaultTalliesPerS    = 20 // additions a second
	defaultTallyNames     = 2
)

// setDefault replaces a value that is not given.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// setDefaults fills in what an experiment does not say.
func (x *Experiment) setDefaults() {
	setDefault(&x.Name, "experiment")
	setDefault(&x.DurationS, defaultDurationS)
	setDefault(&x.ReadyS, defaultReadyTimeout.Seconds())
	setDefault(&x.Fleet.Controllers, 1)
	setDefault(&x.Fleet.Routers, 1)
	if len(x.Fleet.Zones) == 0 {
		x.Fleet.Zones = []string{"here"}
	}
	setDefault(&x.Platform.LagMs, milliseconds(defaultListLag))
	setDefault(&x.Platform.RatePerS, defaultListRatePerS)
	setDefault(&x.Platform.Page, defaultListPage)
	if x.Tallies != nil {
		setDefault(&x.Tallies.PerS, defaultTalliesPerS)
		setDefault(&x.Tallies.Names, defaultTallyNames)
	}
	for i := range x.Services {
		x.Services[i].setDefaults()
	}
	for i := range x.Kinds {
		x.Kinds[i].setDefaults()
	}
}

func (s *Service) setDefaults() {
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.Queue, defaultQueue)
	setDefault(&s.WorkMs, milliseconds(defaultWork))
	setDefault(&s.MaxConnections, defaultMaxConnections)
	engine := s.Engine
	if engine == nil {
		return
	}
	setDefault(&engine.Model, defaultModel)
	setDefault(&engine.MemoryTokens, defaultMemoryTokens)
	setDefault(&engine.PrefillPerS, defaultPrefillPerS)
	setDefault(&engine.StepMs, milliseconds(defaultStep))
	setDefault(&engine.StepEachMs, milliseconds(defaultStepEach))
	setDefault(&engine.ChunkTokens, defaultChunkTokens)
}

func (k *Kind) setDefaults() {
	setDefault(&k.LatencyTargetMs, milliseconds(defaultLatencyTarget))
	setDefault(&k.TimeoutMs, milliseconds(defaultTimeout))
	setDefault(&k.GapMs, milliseconds(defaultEventGap))
	setDefault(&k.MaxAttempts, defaultAttempts)
	setDefault(&k.TokensOut, defaultTokensOut)
	setDefault(&k.TokensIn, defaultTokensIn)
}
