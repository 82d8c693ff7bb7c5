package placement

import (
	"slices"
	"sort"
	"sync"
	"time"

	"shaletrestle/coord/outlier"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/state"
)

const (
	// contradictingShare is the part of the time saved by what the index names that must be missing to count against
	// the hint.
	contradictingShare = 0.8
	// minJudgedSaving is the least saving in seconds whose absence counts: less is lost in the noise.
	minJudgedSaving = 0.01
)

// Placer places the requests of one process. Make it with [NewPlacer]. All methods are safe for concurrent use.
type Placer struct {
	index  *prefixindex.Index
	health *outlier.Detector

	mu        sync.Mutex // guards all fields below
	options   Options
	replicas  map[string]*replicaState // by id
	pools     map[string]*pool         // by service; only those with replicas
	evacuated map[string]bool          // zones, as given last
	rates     rates
	counts    counts
}

// counts are since the start of the process.
type counts struct {
	placed  int64
	spilled int64
	warmer  int64
}

// NewPlacer makes a Placer with the default options and no replicas. The index must not be nil; it is used and kept in
// step with the replicas, and may be read and filled by others.
func NewPlacer(index *prefixindex.Index) *Placer {
	return &Placer{
		index:     index,
		health:    outlier.NewDetector(),
		options:   Defaults(),
		replicas:  map[string]*replicaState{},
		pools:     map[string]*pool{},
		evacuated: map[string]bool{},
		rates:     rates{prefillPerToken: InitialPrefillPerToken.Seconds()},
	}
}

// Health is the detector whose ejections and suspicions are heeded. It is kept in step with the replicas.
func (p *Placer) Health() *outlier.Detector { return p.health }

// Configure takes other options, which must have passed [Options.Check].
func (p *Placer) Configure(options Options) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options = options
	p.index.SetBlockTokens(options.BlockTokens)
}

// SetReplicas takes the list of replicas, by id, and the zones under evacuation; neither may be changed afterwards.
// Replicas of a zone that takes requests again count as warming up for the given time, until the list has had time to
// say whether they are.
func (p *Placer) SetReplicas(replicas map[string]*state.Replica, evacuated map[string]bool, warmupAfterEvacuation time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	holds := map[string]bool{}
	services := make(map[string]string, len(replicas))
	pools := map[string][]*replicaState{}
	for id, listed := range replicas {
		known := p.replicas[id]
		if known == nil {
			known = newReplicaState(id, p.rates.prefillPerToken)
			p.replicas[id] = known
		}
		if p.evacuated[listed.Zone] && !evacuated[listed.Zone] {
			known.warmup.until = time.Now().Add(warmupAfterEvacuation)
		}
		if previous := known.listed; previous != nil && previous.Pool == listed.Pool && !slices.Equal(previous.Models, listed.Models) {
			p.index.Forget(id) // other weights: nothing that it holds is of use
		}
		known.listed, known.evacuated = listed, evacuated[listed.Zone]
		holds[id], services[id] = listed.State == stateReady, listed.Pool
		pools[listed.Pool] = append(pools[listed.Pool], known)
	}
	for id := range p.replicas {
		if replicas[id] == nil {
			delete(p.replicas, id)
		}
	}
	p.evacuated = evacuated
	p.updatePools(pools)
	p.index.Retain(holds)
	p.health.SetReplicas(services)
}

// updatePools brings the pools up to date with the replicas of each service.
func (p *Placer) updatePools(members map[string][]*replicaState) {
	for name := range p.pools {
		if len(members[name]) == 0 {
			delete(p.pools, name)
		}
	}
	for name, replicas := range members {
		updated := p.pools[name]
		if updated == nil {
			updated = &pool{}
			p.pools[name] = updated
		}
		sort.Slice(replicas, func(i, j int) bool { return replicas[i].listed.ID < replicas[j].listed.ID })
		updated.setMembers(replicas)
		updated.refreshOpen()
	}
}

// Allowed reports whether a replica may be sent to by the list, whatever its health.
func (p *Placer) Allowed(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	replica := p.replicas[id]
	return replica != nil && replica.isOpen()
}

// OpenCount is the number of replicas of a service that take requests by the list.
func (p *Placer) OpenCount(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.pools[service]; pool != nil {
		return len(pool.open)
	}
	return 0
}

// Place chooses a replica and counts the request as sent there; [Placer.Release] must follow. ok is false if none may
// be used now, and then nothing was counted.
func (p *Placer) Place(request *Request) (choice Choice, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	pool := p.pools[request.Pool]
	if pool == nil {
		return Choice{}, false
	}
	choosing := p.newSelection(request, pool, now)
	chosen := choosing.choose()
	if chosen.replica == nil {
		return Choice{}, false
	}
	return p.commit(request, pool, chosen, now), true
}

func (p *Placer) newSelection(request *Request, pool *pool, now time.Time) selection {
	choosing := selection{
		request:  request,
		pool:     pool,
		now:      now,
		options:  &p.options,
		rates:    &p.rates,
		index:    p.index,
		health:   p.health,
		replicas: p.replicas,
	}
	if request.Chain != nil {
		choosing.sharedWeight = p.options.sharedBlockWeight(request, p.rates.prefillPerToken)
	}
	return choosing
}

// commit counts a request as sent to the chosen replica.
func (p *Placer) commit(request *Request, pool *pool, chosen selected, now time.Time) Choice {
	choice := chosen.choice
	choice.Replica = chosen.replica.listed
	if chosen.replica.isWarmingUp(now) {
		choice.WarmingUp = true
		chosen.replica.warmup.next = now.Add(durations.FromSeconds(1 / chosen.warmupRate))
	}
	p.health.RequestSent(choice.Replica.ID)
	p.counts.add(choice)
	chosen.replica.add(request, choice.MatchedTokens)
	if request.Chain != nil {
		prompt := request.Chain.Tokens()
		p.rates.observePrompt(prompt - choice.MatchedTokens)
		pool.observeHeld(prompt + request.MaxOutputTokens)
	}
	return choice
}

func (c *counts) add(choice Choice) {
	c.placed++
	if choice.Spilled {
		c.spilled++
	}
	if choice.Warmer {
		c.warmer++
	}
}

// FirstToken records that the first token, or the answer, of an attempt came so long after it was sent, while so much
// was predicted (0 without a prompt). Only the first call for an attempt counts, and none for a replica that has left
// the list.
func (p *Placer) FirstToken(attempt *Attempt, took, predicted time.Duration) {
	saved, judged := p.observeFirstToken(attempt, took, predicted)
	// What a home was only expected to hold is no hint of the index, and says nothing against one.
	if !judged || attempt.MatchedTokens == 0 || p.index.Matched(attempt.ReplicaID, attempt.Chain) < attempt.MatchedTokens {
		return
	}
	if late := (took - predicted).Seconds(); late > contradictingShare*saved && saved > minJudgedSaving {
		p.index.Contradicted(attempt.ReplicaID, attempt.Chain)
	} else {
		p.index.Confirmed(attempt.ReplicaID, attempt.Chain)
	}
}

// observeFirstToken learns from a first token. It gives the seconds that the held part of the prompt should have saved;
// judged is false if the time says nothing about it, as others may have been in its way.
func (p *Placer) observeFirstToken(attempt *Attempt, took, predicted time.Duration) (saved float64, judged bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	replica := p.replicas[attempt.ReplicaID]
	if replica == nil || attempt.FirstTokenSeen {
		return 0, false
	}
	attempt.FirstTokenSeen = true
	p.health.RecordSuccess(attempt.ReplicaID, outlier.Answer{Took: took, Predicted: predicted, Overdue: attempt.OverdueReported})
	if attempt.Chain == nil {
		return 0, false
	}
	replica.prefilled(attempt)
	replica.speed.extraDelay, replica.speed.extraDelayAt = max(0, (took-predicted).Seconds()), time.Now()
	p.rates.observePrefill(&replica.speed, took, float64(attempt.Chain.Tokens()-attempt.MatchedTokens))
	return float64(attempt.MatchedTokens) * replica.speed.prefillPerToken, replica.sent.requests <= 1
}

// Release ends the count of an attempt, whatever came of it. Each choice is released once.
func (p *Placer) Release(attempt *Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	replica := p.replicas[attempt.ReplicaID]
	if replica == nil {
		return
	}
	p.health.RequestEnded(attempt.ReplicaID)
	replica.remove(attempt)
}

// UpdateLoad takes a replica's report of its own load; one of an unknown replica is dropped.
func (p *Placer) UpdateLoad(id string, report LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	replica := p.replicas[id]
	if replica == nil {
		return
	}
	replica.reported = reportedLoad{LoadReport: report, at: time.Now()}
	if pool := p.pools[replica.listed.Pool]; pool != nil && report.Slots > 0 {
		pool.observeReport(report)
		p.index.ReserveTokens(id, report.Running*pool.meanHeldTokens)
	}
}

// IsQueued reports whether a replica said of late that requests wait there.
func (p *Placer) IsQueued(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	replica := p.replicas[id]
	return replica != nil && replica.isQueued(time.Now())
}

// MarkMisaddressed records that another replica answers at this one's address. Nothing is sent to it until it has left
// the list and come back.
func (p *Placer) MarkMisaddressed(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	replica := p.replicas[id]
	if replica == nil {
		return
	}
	replica.misaddressed = true
	p.index.Forget(id)
	if pool := p.pools[replica.listed.Pool]; pool != nil {
		pool.refreshOpen()
	}
}
