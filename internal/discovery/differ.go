package discovery

import "shaletrestle/internal/state"

// missesUntilGone is the number of complete listings without a replica before it counts as gone: one may have been read
// while the list changed between two pages.
const missesUntilGone = 2

// Differ turns complete listings into changes. It is for one goroutine at a time.
type Differ struct {
	missed map[string]int // listings in a row without a known replica, by its id
}

// NewDiffer makes a differ.
func NewDiffer() *Differ { return &Differ{missed: map[string]int{}} }

// Diff gives the event that turns the known replicas into the listed ones, nil if nothing changed. A replica counts as
// gone at its second complete listing without it; an empty listing of a fleet that has replicas changes nothing, as
// the platform is more likely at fault than all replicas gone. initialized says whether a listing was applied before: the
// first one is an event in any case.
func (d *Differ) Diff(known map[string]*state.Replica, initialized bool, listed []*state.Replica) *state.UpdateReplicas {
	if len(listed) == 0 && len(known) > 0 {
		return nil
	}
	event := &state.UpdateReplicas{}
	seen := make(map[string]bool, len(listed))
	for _, replica := range listed {
		seen[replica.ID] = true
		if !replica.Equal(known[replica.ID]) {
			event.Changed = append(event.Changed, replica)
		}
	}
	event.Removed = d.gone(known, seen)
	if initialized && len(event.Changed) == 0 && len(event.Removed) == 0 {
		return nil
	}
	return event
}

// gone counts the listings without each known replica and gives the ids of those that have been missing often enough.
func (d *Differ) gone(known map[string]*state.Replica, seen map[string]bool) []string {
	var gone []string
	for id := range known {
		if seen[id] {
			delete(d.missed, id)
			continue
		}
		d.missed[id]++
		if d.missed[id] >= missesUntilGone {
			delete(d.missed, id)
			gone = append(gone, id)
		}
	}
	return gone
}
