// Package prefixindex is an index of hints: which replicas are believed to hold which prefix blocks of prompts in their
// caches.
//
// A prompt is a [Chain] of parts; the key of each part stands for all before it too, from the model and the revision
// of its weights on. The client is not part of a key, so that replicas share parts across clients. What a replica is
// believed to hold is derived from the prompts that were sent there; replicas report nothing of it. A hint that is wrong
// costs a prefill, never correctness.
//
// # Sources
//
// Keys, sightings, the queue by length and count, thrashing and the break-even of a fetch are those of the m02 cache
// tier; that only full blocks count, that what has finished is not gone and that eviction takes the least recently used
// are those of the session-caching design (4.1, 4.4). "(source)" marks a constant whose value is a design's; the others
// are ours. A run of blocks stands under one key at the end of its part, since only parts are named to us; the result
// equals that of one key a block. docs/placement.md lists both designs section by section.
//
// # State
//
// An [Index] owns the hints of one process, in memory only, bounded by its number of runs. They end with the replica's
// entry in the list ([Index.Retain]), with other weights ([Index.Forget]), by eviction and by contradiction. A restart
// loses all of them; they come back with the next prompts, from the second sighting on.
//
// # Concurrency
//
// All methods of an Index are safe for concurrent use. Functions passed to them are called with the index locked and
// must not call it. Chains are not changed after they were made and may be read by many.
package prefixindex
