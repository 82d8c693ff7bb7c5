package simulation

import (
	"log/slog"
	"slices"
	"time"

	"shaletrestle/coord/replication/core"
)

// happeningKind orders what a thawed process finds waiting.
type happeningKind uint8

const (
	messageHappening happeningKind = iota
	diskHappening
	callHappening
	tickHappening
	happeningKinds
)

// happening is an event for a process.
type happening struct {
	kind  happeningKind
	event core.Event // nil: only what is next
	next  func()     // after the step
}

// process is one incarnation of a core on a machine.
type process struct {
	cluster     *cluster
	host        *host
	core        *core.Core
	store       *keyStore
	timing      core.Timing
	born        time.Duration
	incarnation int
	dead        bool
	frozen      int
	waiting     []happening // while it is frozen

	lastTick  time.Duration
	tickDue   time.Duration
	tickArmed bool
	steps     uint64 // taken so far
	lastToken core.Token
	calls     map[core.Token]*call
	primary   bool
	epoch     core.Epoch // in which it is primary

	roundBegun map[uint64]uint64        // confirmation round to the step of its first message
	granted    map[core.MemberID]uint64 // by witness: the step in which the newest round that it granted began
	sealed     core.StateTag            // the newest proposal that it made or took the state of
	leaving    func()                   // what follows once it has left
}

// start begins a new incarnation on a machine.
func (h *host) start() {
	if h.process == nil && !h.gone {
		h.startWith(h.cluster.seedsFor(h))
	}
}

// startWith begins an incarnation with a list of seeds. A disk of the first start keeps the list of its first incarnation.
func (h *host) startWith(seeds []string) {
	c := h.cluster
	store := newKeyStore(c.history)
	config := core.Config{
		Self:              h.member(),
		Seeds:             seeds,
		MaxFailures:       c.settings.Losses,
		MaxDomainFailures: 1,
		Relay:             h.relay,
		Bootstrap:         h.disk.first,

		BootstrapSeeds: h.disk.firstSeeds(),
		StateMachine:   store,
		Timing:         core.DefaultTiming(),
		Limits:         c.settings.Limits,
	}
	started, err := core.New(config, h.disk.load())
	if err != nil {
		c.monitor.fail("%s does not start: %v", h, err)
		return
	}
	c.lastIncarnation++
	p := &process{
		cluster:     c,
		host:        h,
		core:        started,
		store:       store,
		timing:      config.Timing,
		born:        c.now,
		incarnation: c.lastIncarnation,
		calls:       map[core.Token]*call{},
		roundBegun:  map[uint64]uint64{},
		granted:     map[core.MemberID]uint64{},
	}
	h.process = p
	c.trace("%s starts, seeds %v", h, config.Seeds)
	p.step(core.Started{})
	p.armTick()
}

// firstSeeds are the seeds of the first incarnation of a disk of the first start.
func (d *disk) firstSeeds() []string {
	if !d.first {
		return nil
	}
	return d.cluster.seeds
}

// seedsFor are the addresses in a process's settings: any three machines of the group, one of them another that is not lost.
func (c *cluster) seedsFor(h *host) []string {
	var addresses []string
	for _, s := range c.slots {
		if s.host != nil && !s.retired {
			addresses = append(addresses, s.host.address)
		}
	}
	c.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	good := slices.IndexFunc(addresses, func(address string) bool {
		other := c.addresses[address]
		return other != h && !c.lostHost(other)
	})
	if good > 2 {
		addresses[0], addresses[good] = addresses[good], addresses[0]
	}
	return addresses[:min(3, len(addresses))]
}

// stop ends an incarnation; with the power goes what the disk had not synced.
func (h *host) stop(powerLost bool) {
	p := h.process
	if p == nil {
		return
	}
	h.cluster.trace("%s stops, power lost: %v", h, powerLost)
	p.dead = true
	h.process = nil
	if powerLost {
		h.powerLosses++
	}
	h.disk.stop(powerLost)
	for _, token := range sortedTokens(p.calls) {
		p.calls[token].lost()
	}
}

func sortedTokens(calls map[core.Token]*call) []core.Token {
	tokens := make([]core.Token, 0, len(calls))
	for token := range calls {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens)
	return tokens
}

// armTick lets the core be ticked at the time it wants, or regularly. Timers come a little late.
func (p *process) armTick() {
	c := p.cluster
	due := p.lastTick + p.timing.TickInterval
	if c.settings.Lazy {
		due = p.core.NextWake(p.lastTick)
	}
	due = max(due, p.clock())
	if p.tickArmed && p.tickDue <= due {
		return
	}
	p.tickArmed = true
	p.tickDue = due
	late := c.between(0, 4*time.Millisecond)
	c.after(due-p.clock()+late, func() {
		if !p.dead && p.tickArmed && p.tickDue == due {
			p.take(happening{kind: tickHappening, event: core.Tick{}})
		}
	})
}

// take steps the core, or lets the event wait if the process is frozen.
func (p *process) take(h happening) {
	if p.dead {
		return
	}
	if p.frozen > 0 {
		p.waiting = append(p.waiting, h)
		return
	}
	if h.event != nil {
		p.step(h.event)
	}
	if !p.dead {
		p.armTick()
	}
	if h.next != nil && !p.dead {
		h.next()
	}
}

// freeze stops the process; what comes meanwhile waits.
func (p *process) freeze() {
	p.frozen++
	p.cluster.trace("%s freezes", p.host)
}

// thaw gives the process what waits. Each kind keeps its order, and the kinds come in any order.
func (p *process) thaw() {
	if p.dead {
		return
	}
	p.frozen--
	if p.frozen > 0 {
		return
	}
	p.cluster.trace("%s thaws, %d events wait", p.host, len(p.waiting))
	waiting := p.waiting
	p.waiting = nil
	for _, kind := range p.cluster.random.Perm(int(happeningKinds)) {
		for _, h := range waiting {
			if h.kind == happeningKind(kind) {
				p.take(h)
			}
		}
	}
}

// clock is the steady clock of the process.
func (p *process) clock() time.Duration { return p.cluster.now - p.born }

// step gives the core an event and carries out the effects.
func (p *process) step(event core.Event) {
	p.steps++
	if _, ok := event.(core.Tick); ok {
		p.lastTick = p.clock()
		p.tickArmed = false
	}
	if received, ok := event.(core.Received); ok {
		p.recordReceived(received.Message)
	}
	for _, effect := range p.core.Step(p.clock(), event) {
		if p.dead {
			return
		}
		p.carryOut(effect)
	}
}

func (p *process) carryOut(effect core.Effect) {
	c := p.cluster
	switch effect := effect.(type) {
	case core.Send:
		p.recordSent(effect.Message)
		c.send(p.host, effect.Address, effect.Message)
	case core.SaveRegister, core.AppendEntry, core.SaveSnapshot:
		if p.host.relay {
			c.monitor.fail("%s is a relay and writes to a disk", p.host)
			return
		}
		p.host.disk.give(p, effect)
	case core.Result:
		p.answered(effect)
	case core.BecamePrimary:
		p.primary = true
		p.epoch = effect.Epoch
		c.trace("%s is primary of epoch %d", p.host, effect.Epoch)
		c.monitor.becamePrimary(p, effect.Epoch)
		c.moment(leadsMoment, p)
	case core.SteppedDown:
		p.primary = false
		c.trace("%s is no longer primary: %v", p.host, effect.Reason)
	case core.LearnedView:
		clear(p.granted)
		c.monitor.learned(effect.View)
	case core.Left:
		c.trace("%s has left, complete: %v, roles %d", p.host, effect.Complete, effect.Roles)
		c.monitor.left(p, effect)
		if p.leaving != nil {
			p.leaving()
		}
	case core.Log:
		if c.tracing && effect.Level >= slog.LevelInfo {
			c.trace("%s: %s %v", p.host, effect.Message, effect.Attributes)
		}
	}
}

// recordSent keeps what the monitors need of a message.
func (p *process) recordSent(message core.Message) {
	monitor := p.cluster.monitor
	switch m := message.(type) {
	case core.Confirm:
		if _, known := p.roundBegun[m.Round]; !known {
			p.roundBegun[m.Round] = p.steps
		}
	case core.Prepare:
		p.seal(core.StateTag{Epoch: m.Base.Epoch + 1, Ballot: m.Ballot})
		p.cluster.moment(preparesMoment, p)
	case core.SnapshotChunk:
		monitor.offered(p, m.Tag)
		p.cluster.moment(offersMoment, p)
	case core.Accept:
		monitor.offered(p, core.StateTag{Epoch: m.Base.Epoch + 1, Ballot: m.Ballot})
		monitor.proposed(p, m)
		p.cluster.moment(proposesMoment, p)
	case core.Install:
		p.cluster.moment(installsMoment, p)
	case core.Append:
		p.cluster.moment(appendsMoment, p)
	case core.SnapshotChunkReply:
		if m.Rejection == core.Granted {
			p.seal(m.Tag)
		}
	case core.AppendReply:
		monitor.appended(p, m)
	case core.PrepareReply, core.AcceptReply, core.ConfirmReply:
		monitor.checkWitnessReply(p, message)
	}
}

// seal notes that the process gave its word for the state of a proposal: it may take no entry of an older view.
func (p *process) seal(tag core.StateTag) {
	if !p.sealed.Covers(tag) {
		p.sealed = tag
	}
}

// recordReceived notes which witnesses have confirmed the view, and in which round.
func (p *process) recordReceived(message core.Message) {
	m, ok := message.(core.ConfirmReply)
	if !ok || m.Rejection != core.Granted || m.To != p.host.disk.id || !p.primary {
		return
	}
	begun, known := p.roundBegun[m.Round]
	if known && m.Epoch == p.epoch {
		p.granted[m.From.ID] = max(p.granted[m.From.ID], begun)
	}
}

// answered ends a call.
func (p *process) answered(answer core.Result) {
	made, known := p.calls[answer.Token]
	if !known {
		p.cluster.monitor.fail("%s answers call %d, which it does not have", p.host, answer.Token)
		return
	}
	delete(p.calls, answer.Token)
	p.cluster.monitor.answered(p, made, answer)
	made.end(answer)
	if answer.Outcome == core.Committed {
		p.cluster.moment(commitsMoment, p)
	}
}
