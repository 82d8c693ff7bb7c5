package emulator

import "shaletrestle/internal/constants"

// Defaults that are not among the constants.
const (
	defaultDuration = 10 // s
	defaultModel    = "m"
	defaultAttempts = 2
	defaultOut      = 8  // tokens
	defaultIn       = 64 // tokens
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
	setDefault(&x.Duration, defaultDuration)
	setDefault(&x.Ready, constants.YardReadyWait.Seconds())
	setDefault(&x.Fleet.Controllers, 1)
	setDefault(&x.Fleet.Routers, 1)
	if len(x.Fleet.Zones) == 0 {
		x.Fleet.Zones = []string{"here"}
	}
	setDefault(&x.Platform.LagMs, millis(constants.YardLag))
	setDefault(&x.Platform.Rate, constants.YardListRate)
	setDefault(&x.Platform.Page, constants.YardPage)
	for i := range x.Services {
		x.Services[i].setDefaults()
	}
	for i := range x.Kinds {
		x.Kinds[i].setDefaults()
	}
}

func (s *Service) setDefaults() {
	setDefault(&s.Slots, constants.YardSlots)
	setDefault(&s.Queue, constants.YardQueue)
	setDefault(&s.WorkMs, millis(constants.YardWork))
	setDefault(&s.Channels, constants.YardChannels)
	engine := s.Engine
	if engine == nil {
		return
	}
	setDefault(&engine.Model, defaultModel)
	setDefault(&engine.Memory, constants.YardMemory)
	setDefault(&engine.Prefill, constants.YardPrefill)
	setDefault(&engine.StepMs, millis(constants.YardStep))
	setDefault(&engine.EachMs, millis(constants.YardEach))
	setDefault(&engine.Chunk, constants.YardChunk)
}

func (k *Kind) setDefaults() {
	setDefault(&k.AimMs, millis(constants.YardAim))
	setDefault(&k.TimeoutMs, millis(constants.YardTimeout))
	setDefault(&k.GapMs, millis(constants.YardGap))
	setDefault(&k.Attempts, defaultAttempts)
	setDefault(&k.Out, defaultOut)
	setDefault(&k.In, defaultIn)
}
