// Package store keeps the additions of a member of package counter on a file system.
//
// A file counters-N holds records: magic, checksum of all that follows, kind, length and payload. The payload of a record
// is a list of runs (counter.AppendRuns), or nothing in the record which says that the member had totals. Each Append is
// one record, synced before it returns.
//
// What is stored is a grow-only set, so that files are merged, never chosen between: Open takes the union of all files
// that are there. The first write of an incarnation, and the one after a failed write, is a Rewrite of everything to a
// new file; only when that is safe are the older ones removed. A torn record at the end of a file was never acknowledged. Records behind a damaged one still count, but others may be missing, so that the member
// is one without totals then.
//
// The directory is shared with package replication/store, whose lock covers it; the names differ. A Store is used by one
// goroutine at a time.
package store
