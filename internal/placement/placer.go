package placement

import (
	"sync"
	"time"

	"shaletrestle/coord/outlier"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/prefixindex"
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

// counts are since the start of the process; see [Choice] for their meaning.
type counts struct {
	placed       int64
	spilled      int64
	betterCached int64
}

// NewPlacer returns a Placer with the default options and no replicas. The index must not be nil; the Placer reads it and
// drops what replicas lost. Others may read it too, and fill it.
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

// Health is the detector whose ejections and suspicions are obeyed. [Placer.SetReplicas] sets its replicas too.
func (p *Placer) Health() *outlier.Detector { return p.health }

// Configure takes other options, which must have passed [Options.Check].
func (p *Placer) Configure(options Options) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options = options
	p.index.SetBlockTokens(options.BlockTokens)
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
	selecting := p.newSelection(request, pool, now)
	chosen := selecting.choose()
	if chosen.replica == nil {
		return Choice{}, false
	}
	return p.commit(request, pool, chosen, now), true
}

func (p *Placer) newSelection(request *Request, pool *pool, now time.Time) selection {
	selecting := selection{
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
		selecting.sharedWeight = p.options.sharedBlockWeight(request, p.rates.prefillPerToken)
	}
	return selecting
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
	chosen.replica.addRequest(request, choice.MatchedTokens)
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
	if choice.BetterCached {
		c.betterCached++
	}
}
