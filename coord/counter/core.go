package counter

import (
	"cmp"
	"slices"
	"time"
)

// Config is what a Core is made from.
type Config struct {
	Self     Member // with the id of its disk; any id other than zero without a disk
	Origin   Origin // of this incarnation, chosen at random
	HasDisk  bool   // a member without a disk holds nothing; it only knows who does
	Policy   Policy
	MaxBytes int // of memory, by Set.Bytes, from which on additions are rejected; those of other members are merged still

	Stored Stored // what the disk contained
	// Bootstrap says that the group is started for the first time, so that an empty disk stands for totals of 0.
	Bootstrap bool
}

// Stored is the content of a disk.
type Stored struct {
	Runs     []Run
	Complete bool // the disk is that of a member that had totals
}

// Core is the protocol of one member. It is not safe for concurrent use. The zero value is not usable; see New.
type Core struct {
	config Config
	now    time.Duration // since the start of the incarnation
	set    *Set
	peers  peerTable

	disk    diskState
	adds    []pendingAdd  // in the order of their numbers
	pushes  []pendingPush // of others, that wait for the own disk
	pulling bool
	pullAt  time.Duration // no pull before
	// behindSince is when an origin was first seen to be ahead elsewhere.
	behindSince map[Origin]time.Duration

	complete bool // this member has totals, but for what came while it was down
	caughtUp bool // what came while it was down was merged, or waited for in vain
	leaving  bool
	effects  []Effect
}

// diskState is what is known of the own disk.
type diskState struct {
	durable  Vector // synced
	digest   uint64 // of durable
	complete bool   // the disk says that its member has totals

	writing         Vector // of the Write under way; nil: none is
	writingComplete bool
	writingSince    time.Duration
	failed          bool          // the newest Write failed
	rewrite         bool          // the next Write is a Rewrite
	retryAt         time.Duration // no Write before
}

// isUsable reports whether writes are expected to end soon.
func (d *diskState) isUsable(now time.Duration) bool {
	return !d.failed && (d.writing == nil || now-d.writingSince < stallTimeout)
}

// pendingAdd is an addition that waits for its disks.
type pendingAdd struct {
	token    Token
	number   uint64
	deadline time.Duration
}

// pendingPush is a push of another member that waits for the own disk.
type pendingPush struct {
	token    Token
	origin   Origin
	until    uint64
	deadline time.Duration
}

// New makes a core. Additions on the disk that don't continue their origin, as after damage, are numbered anew under the own one.
func New(config Config) *Core {
	c := &Core{
		config:      config,
		set:         NewSet(config.Origin),
		peers:       peerTable{byAddress: map[string]*peer{}},
		behindSince: map[Origin]time.Duration{},
		complete:    config.Stored.Complete || config.Bootstrap,
	}
	runs := slices.Clone(config.Stored.Runs)
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.First, b.First))
	})
	var orphans []Addition
	for _, run := range runs {
		if run.First > c.set.Count(run.Origin)+1 {
			orphans = append(orphans, run.Additions...)
			continue
		}
		c.set.Merge(run)
	}
	c.disk.durable, c.disk.digest = c.set.Vector(), c.set.Digest()
	c.disk.complete = config.Stored.Complete
	c.disk.rewrite = true
	for _, addition := range orphans {
		if _, known := c.set.find(addition.Counter, addition.ID); !known {
			c.set.append(config.Origin, addition)
		}
	}
	c.config.Stored = Stored{}
	return c
}

// Step handles one event and returns what the driver must do, in order. The time is that since the start of the
// incarnation, on the monotonic clock.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	c.now = now
	c.effects = nil
	switch event := event.(type) {
	case Tick:
		c.ping()
		c.updateBehind()
	case MembersChanged:
		c.setCandidates(event.Candidates)
	case AddRequested:
		c.add(event)
	case Received:
		c.receive(event)
	case Answered:
		c.answered(event)
	case DiskDone:
		c.diskDone(event.Err)
	case Leaving:
		c.leaving = true
	}
	c.proceed()
	return c.effects
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

// proceed does whatever the newest event has made possible.
func (c *Core) proceed() {
	if !c.config.HasDisk {
		return
	}
	c.checkComplete()
	c.write()
	c.push()
	c.pull()
	c.finishPushes()
	c.finishAdds()
	c.noteWaiting()
}

// Total gives the sum of a counter; false if this member has no totals, so that another one must be asked.
func (c *Core) Total(counter string) (total uint64, known bool) {
	if !c.config.HasDisk || !c.complete || !c.caughtUp {
		return 0, false
	}
	return c.set.Total(counter), true
}

// Nearest is the address of a member that can be asked instead of this one, of the own failure domain if there is one;
// empty if none is known.
func (c *Core) Nearest() string {
	var best *peer
	for p := range c.peers.reachable() {
		if !p.complete {
			continue
		}
		if best == nil || c.isNear(p) && !c.isNear(best) {
			best = p
		}
	}
	if best == nil {
		return ""
	}
	return best.member.Address
}

// IsFlushed reports whether every member that answers has what would be missing without this one: the additions that it
// took, synced, and those of incarnations that do not answer themselves.
func (c *Core) IsFlushed() bool {
	held := c.set.Vector()
	delete(held, c.config.Origin)
	for p := range c.peers.reachable() {
		delete(held, p.origin)
	}
	own := c.set.Count(c.config.Origin)
	for p := range c.peers.reachable() {
		if p.durable < own || !p.vector.Covers(held) {
			return false
		}
	}
	return true
}

func (c *Core) isNear(p *peer) bool { return p.member.Domain == c.config.Self.Domain }
