package state

// NewUpdateFleet makes the event that leads from one sorted list of nodes to another: it names what came and went, or
// all nodes where that is no longer.
func NewUpdateFleet(from, to []string) UpdateFleet {
	e := UpdateFleet{Size: len(to), Incremental: true}
	i, j := 0, 0
	for i < len(from) || j < len(to) {
		switch {
		case j == len(to) || i < len(from) && from[i] < to[j]:
			e.Removed = append(e.Removed, from[i])
			i++
		case i == len(from) || from[i] > to[j]:
			e.Nodes = append(e.Nodes, to[j])
			j++
		default:
			i, j = i+1, j+1
		}
	}
	if len(e.Removed)+len(e.Nodes) >= len(to) {
		return UpdateFleet{Size: len(to), Nodes: to}
	}
	return e
}

// nodesAfter gives the sorted nodes after the event; before are those before it, sorted too.
func (e UpdateFleet) nodesAfter(before []string) []string {
	if !e.Incremental {
		return e.Nodes
	}
	after := make([]string, 0, len(before)+len(e.Nodes))
	added, removed := 0, 0
	for _, node := range before {
		for ; added < len(e.Nodes) && e.Nodes[added] < node; added++ {
			after = append(after, e.Nodes[added])
		}
		for removed < len(e.Removed) && e.Removed[removed] < node {
			removed++
		}
		if removed == len(e.Removed) || e.Removed[removed] != node {
			after = append(after, node)
		}
	}
	return append(after, e.Nodes[added:]...)
}
