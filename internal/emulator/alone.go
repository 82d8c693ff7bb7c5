package emulator

import (
	"encoding/json"
	"fmt"
	"runtime"

	"shaletrestle/coord/fairshare"
	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/prefixindex"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/state"
)

// What one part of a node holds and takes, measured by itself in this process.

func heapNow() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// taken measures the heap that f's result holds and the processor time that f takes.
func taken(f func() any) (heap, cpu float64) {
	h, c := heapNow(), cpuNow()
	held := f()
	cpu = cpuNow() - c
	heap = heapNow() - h
	runtime.KeepAlive(held)
	return heap, cpu
}

// chainOf is a prompt of two shared parts and one of its own.
func chainOf(shared, own int) *prefixindex.Chain {
	return prefixindex.NewChain(prefixindex.Root("m", 1), []prefixindex.Part{{ID: uint64(shared / 8), Tokens: 512}, {ID: 1<<32 + uint64(shared), Tokens: 512}, {ID: 1<<40 + uint64(own), Tokens: 256}})
}

const (
	aloneReplicas = 58 // of one service at the size to come: 1,500 over 26
	aloneLooks    = 2000
)

// prefixes enters so many runs into one index and looks prompts up in it.
func prefixes(x float64) values {
	var ix *prefixindex.Index
	heap, cpu := taken(func() any {
		ix = prefixindex.SizedIndex(int(x))
		for i := 0; ; i++ {
			c := chainOf(i/2, i) // every shared part is seen twice
			ix.Sent(fmt.Sprintf("i-%d", i/2%aloneReplicas), 1<<30, c, fmt.Sprintf("r-%d", i/2%100))
			if n, _, _ := ix.Stats(); n >= int(x)-8 || i > 4*int(x) {
				return ix
			}
		}
	})
	runs, _, _ := ix.Stats()
	_, look := taken(func() any {
		found := 0
		var hits [constants.HoldersMost]string
		for i := range aloneLooks { // as placing looks: who holds it, and how much each
			c := chainOf(i*7, i)
			ids := ix.Holders(c, hits[:0], func(string) bool { return true })
			ix.Each(c, len(ids), func(i int) string { return ids[i] }, func(_, n int) { found += n })
		}
		return found
	})
	return values{"runs": float64(runs), "heap_mb": heap / (1 << 20), "bytes_per_run": heap / max(1, float64(runs)), "fill_us_per_request": cpu / x * 1e6, "lookup_us": look / aloneLooks * 1e6}
}

// owners enters the same number of runs for more and more routes.
func owners(x float64) values {
	n := int(x)
	heap, _ := taken(func() any {
		ix := prefixindex.SizedIndex(constants.IndexRuns)
		for i := range constants.IndexRuns {
			ix.Sent("i-1", 1<<30, chainOf(i/2, i), fmt.Sprintf("r-%d", i%n))
		}
		return ix
	})
	pie, _ := taken(func() any {
		p := fairshare.New(1<<30, constants.CalmPart)
		for i := range n {
			p.Add(fmt.Sprintf("r-%d", i), 1)
		}
		return p
	})
	full := prefixindex.SizedIndex(constants.IndexRuns / 4)
	fill := func(from, to int) {
		for i := from; i < to; i++ {
			full.Sent("i-1", 1<<30, chainOf(i/2, i), fmt.Sprintf("r-%d", i%n))
		}
	}
	fill(0, constants.IndexRuns)
	_, cpu := taken(func() any { fill(constants.IndexRuns, constants.IndexRuns+aloneLooks); return nil })
	return values{"index_heap_kb": heap / 1024, "pie_heap_kb": pie / 1024, "enter_when_full_us": cpu / aloneLooks * 1e6}
}

// sessions lets so many sessions send one prompt that nobody else sends: nothing but the sketch should remember them.
func sessions(x float64) values {
	heap, cpu := taken(func() any {
		ix := prefixindex.SizedIndex(constants.IndexRuns)
		for i := range int(x) {
			c := prefixindex.NewChain(prefixindex.Root("m", 1), []prefixindex.Part{{ID: 1 << 33, Tokens: 512}, {ID: 1<<41 + uint64(i)*2654435761, Tokens: 256}})
			ix.Sent(fmt.Sprintf("i-%d", i%aloneReplicas), 1<<30, c, "r")
		}
		return ix
	})
	return values{"heap_kb": heap / 1024, "us_per_request": cpu / x * 1e6}
}

// placing places prompts on more and more replicas of one service.
func placing(x float64) values {
	ix := prefixindex.NewIndex()
	y := placement.NewYard(ix)
	rs := map[string]*state.Replica{}
	for i := range int(x) {
		id := fmt.Sprintf("i-%d", i)
		rs[id] = &state.Replica{ID: id, Pool: "p", Addr: "10.0.0.1:1", Locality: fmt.Sprint(i % 3), Slots: 128, State: "ready", Models: []state.Model{{Name: "m", Revision: 1}}}
	}
	y.Set(rs, map[string]bool{}, 0)
	bad := 0
	_, cpu := taken(func() any {
		for i := range aloneLooks {
			c := chainOf(i%64, i)
			a := &placement.Ask{Pool: "p", Locality: "0", Chain: c, Capacity: 729140, OutMost: 100, Aim: clock.Seconds(1), Not: map[string]bool{}}
			ch, ok := y.Place(a)
			if !ok {
				bad++
				continue
			}
			ix.Sent(ch.Replica.ID, a.Capacity, c, "r")
			y.Done(&placement.End{Replica: ch.Replica.ID, Chain: c, Matched: ch.Matched, OutMost: a.OutMost})
		}
		return nil
	})
	return values{"place_us": cpu / aloneLooks * 1e6, "not_placed": float64(bad)}
}

// folding folds changes into the book of a node and compiles its table, for more and more routes.
func folding(x float64) values {
	z := aim
	z.Routes = int(x)
	b := state.NewBook(true)
	b.Watch(func(old, now *state.View, _ *state.Event) {
		if old.Doc != now.Doc {
			routing.Compile(now.Doc)
		}
	})
	first := z.setup()
	first["revision"] = 1
	whole, _ := json.Marshal(first)
	var size int
	heap, _ := taken(func() any {
		b.Fold((&state.Event{Kind: state.Put, Body: whole}).Encode())
		return b
	})
	const changes = 40
	_, cpu := taken(func() any {
		for i := range changes {
			body, _ := json.Marshal(map[string]any{"revision": i + 2, "upsert": map[string]any{"route_table": []any{z.route(i%z.Routes, 11000+i)}}})
			e := (&state.Event{Kind: state.Patch, Base: int64(i + 1), Body: body}).Encode()
			size = len(e)
			b.Fold(e)
		}
		return nil
	})
	return values{"fold_ms": cpu / changes * 1e3, "heap_kb": heap / 1024, "checkpoint_kb": float64(len(b.Checkpoint())) / 1024, "change_bytes": float64(size), "revision": float64(b.View().Doc.Epoch)}
}

// listing folds a list of more and more replicas, then changes of one of them, with the places kept for traffic brought up to date.
func listing(x float64) values {
	b := state.NewBook(true)
	y := placement.NewYard(prefixindex.NewIndex())
	b.Watch(func(_, now *state.View, _ *state.Event) { y.Set(now.Replicas, now.Evac, 0) })
	all := madeList(int(x), aim.Models, aim.Houses)
	first := (&state.Event{Kind: state.List, Replicas: all}).Encode()
	heap, cpu := taken(func() any { b.Fold(first); return []any{b, y} })
	const changes = 40
	var size int
	_, one := taken(func() any {
		for i := range changes {
			r := *all[i%len(all)]
			r.ColdMs = float64(i + 1)
			e := (&state.Event{Kind: state.List, Replicas: []*state.Replica{&r}}).Encode()
			size = len(e)
			b.Fold(e)
		}
		return nil
	})
	return values{"whole_ms": cpu * 1e3, "change_ms": one / changes * 1e3, "heap_kb": heap / 1024, "checkpoint_kb": float64(len(b.Checkpoint())) / 1024, "change_bytes": float64(size)}
}
