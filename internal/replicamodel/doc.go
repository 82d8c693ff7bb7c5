// Package replicamodel is the model of a model-serving replica: slots, a queue, batch steps, the prefill of prompts in
// chunks, and a cache of prompt parts with eviction of the least recently used.
//
// It does no input or output and has no clock: the caller passes the time, as a duration since any start of its own,
// and asks what happens next. A [Model] or a [Queue] belongs to one goroutine at a time and owns all its state; nothing
// of it outlives it, as with a replica that is started anew. The cache follows the session-caching design (4.1:
// what has finished is not gone, and the least recently used goes first); steps are those of continuous batching with
// chunked prefill.
package replicamodel
