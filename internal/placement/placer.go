// Package placement places inquiries: the replica of least cost in blocks for prompts, by what is kept where and what is waiting there; least busy of two for the others.
package placement

import (
	"math"
	"slices"
	"sync"
	"time"

	"shaletrestle/internal/durations"

	"shaletrestle/coord/loadsum"
	"shaletrestle/coord/outlier"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/state"
)

// Request is what is to be placed.
type Request struct {
	Pool            string
	Zone            string
	Chain           *prefixindex.Chain // nil for services without an engine
	CapacityTokens  int                // tokens of memory of one replica
	MaxOutputTokens int                // most tokens that may come out
	LatencyTarget   time.Duration      // time within which the first token is wanted
	Excluded        map[string]bool
	Retriable       bool                       // it may be sent again if it fails
	AllowsZone      func(locality string) bool // nil: everywhere
	WarmupRate      func(id string) float64    // inquiries a second that this process may send to a cold replica
	sharedWeight    float64                    // of a shared block, when it is placed
	allowSuspected  bool                       // replicas under suspicion may be used too
}

// Choice is where an inquiry goes.
type Choice struct {
	Replica       *state.Replica
	MatchedTokens int
	PredictedTTFT time.Duration // predicted time to the first token
	UnloadedTTFT  time.Duration // the same with nothing else there
	Spilled       bool
	Warmer        bool
	WarmingUp     bool
}

type replicaState struct {
	replica           *state.Replica
	idHash            uint64
	slowness          float64 // by what part it reads slower than the service's mean
	inflight          int
	pendingTokens     float64 // prompt tokens sent by this process that have given no event yet
	heldTokens        float64 // tokens of memory that this process's inquiries hold
	reportedRunning   float64
	reportedWaiting   float64
	reportedSlots     float64
	reportedAt        time.Time
	prefillPerToken   float64 // seconds per prompt token, learned
	extraDelay        float64 // seconds of delay beyond the predicted, learned
	extraDelayAt      time.Time
	misaddressed      bool    // another replica is at its address
	loadKey           uint32  // by which the fleet names it
	publishedTokens   uint32  // tokens that this process told the fleet of last
	fleetTokens       float64 // tokens of others that wait here beyond the usual, by the fleet's sum
	fleetTokensAt     time.Time
	nextWarmupRequest time.Time
	warmupUntil       time.Time // back from an evacuation: cold until the list has had time to say
}

// Placer knows the replicas and how busy they seem from here.
type Placer struct {
	mu                 sync.Mutex
	index              *prefixindex.Index
	health             *outlier.Detector
	replicas           map[string]*replicaState
	pools              map[string]*pool
	options            Options
	evacuated          map[string]bool
	prefillPerToken    float64
	observedPerToken   float64 // seconds a prompt token as seen, waiting included
	meanUncachedTokens float64 // tokens that a prompt leaves to be read, on average
	spills             int64
	warmer             int64
	placed             int64
}

// NewYard makes an empty yard.
func NewPlacer(x *prefixindex.Index) *Placer {
	return &Placer{index: x, health: outlier.NewDetector(), replicas: map[string]*replicaState{}, pools: map[string]*pool{}, options: Defaults(), evacuated: map[string]bool{}, prefillPerToken: InitialPrefillPerToken.Seconds()}
}

// Health is the judgement of replicas that placing heeds.
func (y *Placer) Health() *outlier.Detector { return y.health }

// Set takes the replicas and evacuated localities of the moment. back is how long a locality that takes inquiries again counts as cold.
func (y *Placer) SetReplicas(rs map[string]*state.Replica, evac map[string]bool, back time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	keeps := map[string]bool{}
	of := make(map[string]string, len(rs))
	pools := map[string][]*replicaState{}
	for id, r := range rs {
		b := y.replicas[id]
		if b == nil {
			b = &replicaState{prefillPerToken: y.prefillPerToken, idHash: hashID(id), loadKey: loadsum.Key(id)}
			y.replicas[id] = b
		}
		if y.evacuated[r.Zone] && !evac[r.Zone] {
			b.warmupUntil = time.Now().Add(back)
		}
		if b.replica != nil && b.replica.Pool == r.Pool && !slices.Equal(b.replica.Models, r.Models) {
			y.index.Forget(id) // other weights: nothing of what it kept is of use
		}
		b.replica, keeps[id], of[id] = r, r.State == "ready", r.Pool
		pools[r.Pool] = append(pools[r.Pool], b)
	}
	for id := range y.replicas {
		if rs[id] == nil {
			delete(y.replicas, id)
		}
	}
	y.evacuated = evac
	y.updatePools(pools)
	y.index.Retain(keeps)
	y.health.SetReplicas(of)
}

// Use takes other options.
func (y *Placer) Configure(o Options) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.options = o
	y.index.SetBlockTokens(o.BlockTokens)
}

// May tells whether a replica may be sent to at this moment.
func (y *Placer) Allowed(id string) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	b := y.replicas[id]
	return b != nil && y.isOpen(b)
}

func (y *Placer) isOpen(b *replicaState) bool {
	return b.replica.State == "ready" && !y.evacuated[b.replica.Zone] && !b.misaddressed
}

// Count tells how many replicas of a service there are that take inquiries by the list.
func (y *Placer) OpenCount(pool string) (n int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if p := y.pools[pool]; p != nil {
		n = len(p.open)
	}
	return
}

func (y *Placer) isWarmingUp(b *replicaState, now time.Time) bool {
	return b.replica.WarmupLeftMs > 0 || now.Before(b.warmupUntil)
}

// Place chooses a replica and counts the inquiry as sent there; Done must follow. ok is false if none may be used now.
func (y *Placer) Place(a *Request) (c Choice, ok bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	now := time.Now()
	p := y.pools[a.Pool]
	if p == nil {
		return c, false
	}
	b, c, coldRate := y.pick(a, p, now)
	if b == nil { // suspects that were passed over come last
		a.allowSuspected = true
		b, c, coldRate = y.pick(a, p, now)
		a.allowSuspected = false
	}
	if b == nil {
		return c, false
	}
	if y.isWarmingUp(b, now) {
		c.WarmingUp = true
		b.nextWarmupRequest = now.Add(durations.FromSeconds(1 / coldRate))
	}
	c.Replica = b.replica
	y.health.RequestSent(b.replica.ID)
	y.placed++
	b.inflight++
	if a.Chain != nil {
		n := a.Chain.Tokens()
		y.meanUncachedTokens += learnUpWeight * (float64(n-c.MatchedTokens) - y.meanUncachedTokens)
		b.pendingTokens += float64(n - c.MatchedTokens)
		b.heldTokens += float64(n + a.MaxOutputTokens)
		p.meanHeldTokens += meanObservationWeight * (float64(n+a.MaxOutputTokens) - p.meanHeldTokens)
	}
	return c, true
}

// pick chooses a warm replica, or a cold one if no other may be used; nil if none may. coldRate is what may be sent to a cold one in a second.
func (y *Placer) pick(a *Request, p *pool, now time.Time) (b *replicaState, c Choice, coldRate float64) {
	if a.Chain != nil {
		b, c = y.choosePrompt(a, p, now)
	} else {
		b = y.chooseLessLoaded(a, p, now)
	}
	if b == nil {
		b, coldRate = y.chooseWarmingUp(a, p, now)
	}
	return
}

// fits tells whether a replica may take an inquiry now.
func (y *Placer) isEligible(a *Request, b *replicaState, now time.Time) bool {
	if !y.isOpen(b) || a.Excluded[b.replica.ID] || a.AllowsZone != nil && !a.AllowsZone(b.replica.Zone) {
		return false
	}
	f := y.health.Fitness(b.replica.ID, a.Retriable, now)
	return f == outlier.Fit || f == outlier.PassedOver && a.allowSuspected
}

// delay is the predicted time before a new inquiry's own prompt is read.
func (b *replicaState) queueDelay(now time.Time, prompt float64) float64 {
	d := (b.pendingTokens + b.otherNodesTokens(now)) * b.prefillPerToken
	if age := now.Sub(b.extraDelayAt).Seconds(); age < 2 {
		d = max(d, b.extraDelay*math.Exp(-age*2))
	}
	if age := now.Sub(b.reportedAt).Seconds(); age < 1 {
		d = max(d, b.reportedWaiting*prompt*(1-age))
	}
	return d
}

func (b *replicaState) occupancy(now time.Time) float64 {
	n := float64(b.inflight)
	if b.reportedSlots > 0 {
		if age := now.Sub(b.reportedAt).Seconds(); age < 2 {
			n = max(n, (b.reportedRunning+2*b.reportedWaiting)*(1-age/2))
		}
		return n / b.reportedSlots
	}
	return n / float64(max(1, b.replica.Slots))
}

// End tells how a shot ended.
type Attempt struct {
	ReplicaID       string
	Chain           *prefixindex.Chain
	MatchedTokens   int
	MaxOutputTokens int
	FirstTokenSeen  bool // an event or answer came
	OverdueReported bool // its lateness was held against the replica already
}

// Began notes that the first event came, took long after sending, while expect was predicted.
func (y *Placer) FirstToken(e *Attempt, took, expect time.Duration) {
	y.mu.Lock()
	b := y.replicas[e.ReplicaID]
	if b == nil || e.FirstTokenSeen {
		y.mu.Unlock()
		return
	}
	e.FirstTokenSeen = true
	y.health.RecordSuccess(e.ReplicaID, took, expect, e.OverdueReported, time.Now())
	if e.Chain == nil {
		y.mu.Unlock()
		return
	}
	n := float64(e.Chain.Tokens() - e.MatchedTokens)
	b.pendingTokens = max(0, b.pendingTokens-n)
	b.extraDelay, b.extraDelayAt = max(0, (took-expect).Seconds()), time.Now()
	quiet := b.inflight <= 1
	if n >= minLearnTokens {
		per := max(0, took.Seconds()-baseTTFT.Seconds()) / n
		learn(&b.prefillPerToken, per)
		y.observePerToken(b, per)
		learn(&y.prefillPerToken, per)
	}
	saved := float64(e.MatchedTokens) * b.prefillPerToken
	y.mu.Unlock()
	// what a home was only expected to keep is no hint of the index, and tells nothing against one
	if e.MatchedTokens == 0 || !quiet || y.index.Matched(e.ReplicaID, e.Chain) < e.MatchedTokens {
		return
	}
	if over := (took - expect).Seconds(); over > 0.8*saved && saved > 0.01 {
		y.index.Contradicted(e.ReplicaID, e.Chain)
	} else {
		y.index.Confirmed(e.ReplicaID, e.Chain)
	}
}

// learn moves a rate to an observation: quickly down, slowly up, since waiting only ever adds to what is observed.
func learn(rate *float64, seen float64) {
	w := learnUpWeight
	if seen < *rate {
		w = learnDownWeight
	}
	*rate += w * (seen - *rate)
}

// Done ends the count of a shot.
func (y *Placer) Release(e *Attempt) {
	y.mu.Lock()
	defer y.mu.Unlock()
	b := y.replicas[e.ReplicaID]
	if b == nil {
		return
	}
	b.inflight = max(0, b.inflight-1)
	y.health.RequestEnded(e.ReplicaID)
	if e.Chain != nil {
		if !e.FirstTokenSeen {
			b.pendingTokens = max(0, b.pendingTokens-float64(e.Chain.Tokens()-e.MatchedTokens))
		}
		b.heldTokens = max(0, b.heldTokens-float64(e.Chain.Tokens()+e.MaxOutputTokens))
		if b.inflight == 0 {
			b.pendingTokens, b.heldTokens = 0, 0
		}
	}
}

// Told takes a replica's own word on its load.
func (y *Placer) UpdateLoad(id string, running, waiting, slots float64) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if b := y.replicas[id]; b != nil {
		b.reportedRunning, b.reportedWaiting, b.reportedSlots, b.reportedAt = running, waiting, slots, time.Now()
		if p := y.pools[b.replica.Pool]; p != nil && slots > 0 {
			p.meanOccupancy += meanObservationWeight * (running/slots - p.meanOccupancy)
			y.index.ReserveTokens(id, running*p.meanHeldTokens)
		}
	}
}

// Queued tells whether a replica said lately that requests wait there.
func (y *Placer) IsQueued(id string) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	b := y.replicas[id]
	return b != nil && b.reportedWaiting > 0 && time.Since(b.reportedAt) < queuedReportLifetime
}

// Wrong notes that another replica answers at this one's address.
func (y *Placer) MarkMisaddressed(id string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if b := y.replicas[id]; b != nil {
		b.misaddressed = true
		y.index.Forget(id)
		if p := y.pools[b.replica.Pool]; p != nil {
			y.refreshOpen(p)
		}
	}
}

// Stats is for the state page.
type Stats struct {
	Placed                int64                           `json:"placed"`
	Spills                int64                           `json:"spills"`
	Warmer                int64                           `json:"warmer"`
	PrefillMicrosPerToken float64                         `json:"prefill_us_per_token"`
	Replicas              map[string]ReplicaStats         `json:"replicas"`
	Health                map[string]outlier.ReplicaStats `json:"health"`
}

// BerthStat is one replica on the state page.
type ReplicaStats struct {
	Pool         string `json:"service"`
	Zone         string `json:"locality"`
	State        string `json:"state"`
	Inflight     int    `json:"inflight"`
	WarmingUp    bool   `json:"cold"`
	Misaddressed bool   `json:"address_reused"`
}

// Stats tells what the yard sees.
func (y *Placer) Stats() Stats {
	y.mu.Lock()
	defer y.mu.Unlock()
	now := time.Now()
	s := Stats{y.placed, y.spills, y.warmer, y.prefillPerToken * 1e6, map[string]ReplicaStats{}, y.health.Stats(now)}
	for id, b := range y.replicas {
		s.Replicas[id] = ReplicaStats{b.replica.Pool, b.replica.Zone, b.replica.State, b.inflight, y.isWarmingUp(b, now), b.misaddressed}
	}
	return s
}
