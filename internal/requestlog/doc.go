// Package requestlog remembers how a router's newest failed and slow requests went: which attempts each made, at which
// replica, how each of them ended and what was waited for, so that a request can be explained afterwards by its
// Attempt-Id. It also counts the requests and their durations by the cause of their end.
//
// A [Trail] belongs to the goroutine that serves the request. A [Log] keeps the newest [Record]s in memory, at most
// recordsKept of each kind, and writes a sample of them to the log; it is safe for concurrent use. A restart loses all.
package requestlog
