package simulation

// limit bounds how much runs at once.
type limit chan struct{}

// workers is how many schedules run at once.
const workers = 4

func newLimit() limit { return make(limit, workers) }

func (l limit) enter() { l <- struct{}{} }

func (l limit) leave() { <-l }
