package emulator

import (
	"encoding/json"
	"fmt"

	"shaletrestle/coord/fairshare"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/state"
)

// What one component of a node holds and takes, measured by itself in this process.

const (
	componentReplicas = 58      // of one service at the target size: 1,500 over 26
	componentLookups  = 2000    // timed at each point
	componentChanges  = 40      // timed at each point
	unlimitedTokens   = 1 << 30 // tokens; more than is ever used
)

// Units of the values.
const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
	micros   = 1e6 // in a second
	millisec = 1e3 // in a second
)

// componentChain is a prompt of two shared parts and one of its own.
func componentChain(shared, own int) *prefixindex.Chain {
	parts := []prefixindex.Part{
		{ID: uint64(shared / 8), Tokens: 512},
		{ID: 1<<32 + uint64(shared), Tokens: 512},
		{ID: 1<<40 + uint64(own), Tokens: 256},
	}
	return prefixindex.NewChain(prefixindex.RootKey("m", 1), parts)
}

func componentReplica(i int) string { return fmt.Sprintf("i-%d", i) }

func componentRoute(i int) string { return fmt.Sprintf("r-%d", i) }

// measurePrefixes enters so many runs into one index and looks prompts up in it.
func measurePrefixes(x float64) values {
	var index *prefixindex.Index
	heap, cpu := cost(func() any {
		index = filledIndex(int(x))
		return index
	})
	runs := index.Stats().Runs
	_, lookupTime := cost(func() any { return lookUp(index) })
	return values{
		"runs":                float64(runs),
		"heap_mb":             heap / megabyte,
		"bytes_per_run":       heap / max(1, float64(runs)),
		"fill_us_per_request": cpu / x * micros,
		"lookup_us":           lookupTime / componentLookups * micros,
	}
}

// filledIndex is an index with nearly all the runs that it may hold.
func filledIndex(runs int) *prefixindex.Index {
	index := prefixindex.NewSizedIndex(runs)
	for i := 0; ; i++ {
		shared := i / 2 // every shared part is seen twice
		chain := componentChain(shared, i)
		index.RecordSent(componentReplica(shared%componentReplicas), unlimitedTokens, chain, componentRoute(shared%100))
		if index.Stats().Runs >= runs-8 || i > 4*runs {
			return index
		}
	}
}

// lookUp looks prompts up as placement does: who holds them, and how much each.
func lookUp(index *prefixindex.Index) int {
	found := 0
	var buffer [prefixindex.MaxHolders]string
	for i := range componentLookups {
		chain := componentChain(i*7, i)
		holders := index.Holders(chain, buffer[:0], func(string) bool { return true })
		holder := func(i int) string { return holders[i] }
		index.MatchedEach(chain, len(holders), holder, func(_, tokens int) { found += tokens })
	}
	return found
}

// measureOwners enters the same number of runs for more and more routes.
func measureOwners(x float64) values {
	routes := int(x)
	enter := func(index *prefixindex.Index, from, to int) {
		for i := from; i < to; i++ {
			index.RecordSent("i-1", unlimitedTokens, componentChain(i/2, i), componentRoute(i%routes))
		}
	}
	indexHeap, _ := cost(func() any {
		index := prefixindex.NewSizedIndex(prefixindex.MaxRuns)
		enter(index, 0, prefixindex.MaxRuns)
		return index
	})
	sharesHeap, _ := cost(func() any {
		shares := fairshare.New(unlimitedTokens, fairshare.CalmFraction)
		for i := range routes {
			shares.Acquire(componentRoute(i), 1)
		}
		return shares
	})
	full := prefixindex.NewSizedIndex(prefixindex.MaxRuns / 4)
	enter(full, 0, prefixindex.MaxRuns)
	_, enterTime := cost(func() any {
		enter(full, prefixindex.MaxRuns, prefixindex.MaxRuns+componentLookups)
		return nil
	})
	return values{
		"index_heap_kb":      indexHeap / kilobyte,
		"pie_heap_kb":        sharesHeap / kilobyte,
		"enter_when_full_us": enterTime / componentLookups * micros,
	}
}

// measureSessions lets so many sessions send one prompt that no other session sends:
// nothing but the sketch should remember them.
func measureSessions(x float64) values {
	heap, cpu := cost(func() any {
		index := prefixindex.NewSizedIndex(prefixindex.MaxRuns)
		for i := range int(x) {
			parts := []prefixindex.Part{
				{ID: 1 << 33, Tokens: 512},
				{ID: 1<<41 + uint64(i)*2654435761, Tokens: 256},
			}
			chain := prefixindex.NewChain(prefixindex.RootKey("m", 1), parts)
			index.RecordSent(componentReplica(i%componentReplicas), unlimitedTokens, chain, "r")
		}
		return index
	})
	return values{
		"heap_kb":        heap / kilobyte,
		"us_per_request": cpu / x * micros,
	}
}

// measurePlacing places prompts on more and more replicas of one service.
func measurePlacing(x float64) values {
	index := prefixindex.NewIndex()
	placer := placement.NewPlacer(index)
	placer.SetReplicas(placedReplicas(int(x)), map[string]bool{}, 0)
	notPlaced := 0
	_, cpu := cost(func() any {
		for i := range componentLookups {
			if !placeOne(placer, index, i) {
				notPlaced++
			}
		}
		return nil
	})
	return values{
		"place_us":   cpu / componentLookups * micros,
		"not_placed": float64(notPlaced),
	}
}

func placedReplicas(count int) map[string]*state.Replica {
	replicas := map[string]*state.Replica{}
	for i := range count {
		id := componentReplica(i)
		replicas[id] = &state.Replica{
			ID:      id,
			Pool:    "p",
			Address: "10.0.0.1:1",
			Zone:    fmt.Sprint(i % 3),
			Slots:   replicaSlots,
			State:   string(replicaReady),
			Models:  []state.Model{{Name: "m", Revision: firstRevision}},
		}
	}
	return replicas
}

// placeOne places one prompt and ends it; false if there was no replica for it.
func placeOne(placer *placement.Placer, index *prefixindex.Index, number int) bool {
	chain := componentChain(number%64, number)
	ask := &placement.Request{
		Pool:            "p",
		Zone:            "0",
		Chain:           chain,
		CapacityTokens:  modelCapacity,
		MaxOutputTokens: 100,
		LatencyTarget:   durations.FromSeconds(1),
		Excluded:        map[string]bool{},
	}
	choice, ok := placer.Place(ask)
	if !ok {
		return false
	}
	index.RecordSent(choice.Replica.ID, ask.CapacityTokens, chain, "r")
	placer.Release(&placement.Attempt{
		ReplicaID:       choice.Replica.ID,
		Chain:           chain,
		MatchedTokens:   choice.MatchedTokens,
		MaxOutputTokens: ask.MaxOutputTokens,
	})
	return true
}

// measureFolding folds changes into the state of a node and compiles its table, for
// more and more routes.
func measureFolding(x float64) values {
	size := targetSize
	size.Routes = int(x)
	store := state.NewStore(state.Options{Monotonic: true})
	store.OnChange(func(old, now *state.View, _ state.Event) {
		if old.Config != now.Config {
			routing.Compile(now.Config)
		}
	})
	first := size.configuration()
	first.Revision = 1
	body, _ := json.Marshal(first)
	heap, _ := cost(func() any {
		mustUpdate(store, state.EncodeEvent(state.NewPutConfig(0, body).WithoutDigest()))
		return store
	})
	changeBytes := 0
	_, cpu := cost(func() any {
		for i := range componentChanges {
			event := patchEvent(size.route(i%size.Routes, 11000+i), i+1)
			changeBytes = len(event)
			mustUpdate(store, event)
		}
		return nil
	})
	return values{
		"fold_ms":       cpu / componentChanges * millisec,
		"heap_kb":       heap / kilobyte,
		"checkpoint_kb": float64(len(store.Snapshot())) / kilobyte,
		"change_bytes":  float64(changeBytes),
		"revision":      float64(store.View().Config.Revision),
	}
}

// patchEvent is the change of one route on top of a revision.
func patchEvent(route routeConfig, revision int) []byte {
	change := routeChange(route)
	change.Revision = int64(revision + 1)
	body, _ := json.Marshal(change)
	return state.EncodeEvent(state.NewPatchConfig(int64(revision), body).WithoutDigest())
}

// measureListing folds a list of more and more replicas, then changes of one of them;
// the replicas known to placement are brought up to date with each.
func measureListing(x float64) values {
	store := state.NewStore(state.Options{Monotonic: true})
	placer := placement.NewPlacer(prefixindex.NewIndex())
	store.OnChange(func(_, now *state.View, _ state.Event) { placer.SetReplicas(now.Replicas, now.Evacuated, 0) })
	replicas := madeUpReplicas(int(x), targetSize.Models, targetSize.Controllers)
	first := listEvent(replicas...)
	heap, fullTime := cost(func() any {
		mustUpdate(store, first)
		return []any{store, placer}
	})
	changeBytes := 0
	_, changeTime := cost(func() any {
		for i := range componentChanges {
			changed := *replicas[i%len(replicas)]
			changed.WarmupLeftMs = float64(i + 1)
			event := listEvent(&changed)
			changeBytes = len(event)
			mustUpdate(store, event)
		}
		return nil
	})
	return values{
		"whole_ms":      fullTime * millisec,
		"change_ms":     changeTime / componentChanges * millisec,
		"heap_kb":       heap / kilobyte,
		"checkpoint_kb": float64(len(store.Snapshot())) / kilobyte,
		"change_bytes":  float64(changeBytes),
	}
}

// mustUpdate applies an event that was made up here, so that it fits.
func mustUpdate(store *state.Store, event []byte) {
	if err := store.Update(event); err != nil {
		panic(err)
	}
}

func listEvent(replicas ...*state.Replica) []byte {
	return state.EncodeEvent(state.UpdateReplicas{Changed: replicas})
}
