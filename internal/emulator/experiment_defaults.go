package emulator

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
	setDefault(&x.Ready, yardReadyWait.Seconds())
	setDefault(&x.Fleet.Controllers, 1)
	setDefault(&x.Fleet.Routers, 1)
	if len(x.Fleet.Zones) == 0 {
		x.Fleet.Zones = []string{"here"}
	}
	setDefault(&x.Platform.LagMs, millis(yardLag))
	setDefault(&x.Platform.Rate, yardListRate)
	setDefault(&x.Platform.Page, yardPage)
	for i := range x.Services {
		x.Services[i].setDefaults()
	}
	for i := range x.Kinds {
		x.Kinds[i].setDefaults()
	}
}

func (s *Service) setDefaults() {
	setDefault(&s.Slots, yardSlots)
	setDefault(&s.Queue, yardQueue)
	setDefault(&s.WorkMs, millis(yardWork))
	setDefault(&s.Channels, yardChannels)
	engine := s.Engine
	if engine == nil {
		return
	}
	setDefault(&engine.Model, defaultModel)
	setDefault(&engine.Memory, yardMemory)
	setDefault(&engine.Prefill, yardPrefill)
	setDefault(&engine.StepMs, millis(yardStep))
	setDefault(&engine.EachMs, millis(yardEach))
	setDefault(&engine.Chunk, yardChunk)
}

func (k *Kind) setDefaults() {
	setDefault(&k.AimMs, millis(yardAim))
	setDefault(&k.TimeoutMs, millis(yardTimeout))
	setDefault(&k.GapMs, millis(yardGap))
	setDefault(&k.Attempts, defaultAttempts)
	setDefault(&k.Out, defaultOut)
	setDefault(&k.In, defaultIn)
}
