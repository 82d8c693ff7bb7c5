package placement

// meanObservationWeight is the weight of one observation in the means of a service.
const meanObservationWeight = 0.02

// pool is the replicas of one service, and what is precomputed for choosing among them. It is guarded by the Placer's
// lock.
type pool struct {
	all            []*replicaState            // by id
	open           []*replicaState            // those that take requests by the list
	openByZone     map[string][]*replicaState // the same by zone
	homes          homes
	meanOccupancy  float64 // part of their slots that replicas report as running, on average
	meanHeldTokens float64 // tokens of memory that a request may take, on average
}

// setMembers takes a new set of replicas, sorted by id.
func (p *pool) setMembers(all []*replicaState) {
	gone := map[*replicaState]bool{}
	for _, replica := range p.all {
		gone[replica] = true
	}
	var added []*replicaState
	for _, replica := range all {
		if !gone[replica] {
			added = append(added, replica)
		}
		delete(gone, replica)
	}
	p.all = all
	p.homes.update(added, gone)
}

// refreshOpen lists anew which of the replicas take requests.
func (p *pool) refreshOpen() {
	p.open, p.openByZone = nil, map[string][]*replicaState{}
	for _, replica := range p.all {
		if replica.isOpen() {
			p.open = append(p.open, replica)
			p.openByZone[replica.listed.Zone] = append(p.openByZone[replica.listed.Zone], replica)
		}
	}
}

// observeReport takes a replica's report into the mean.
func (p *pool) observeReport(report LoadReport) {
	p.meanOccupancy += meanObservationWeight * (report.Running/report.Slots - p.meanOccupancy)
}

// observeHeld takes the tokens that a placed prompt may hold into the mean.
func (p *pool) observeHeld(tokens int) {
	p.meanHeldTokens += meanObservationWeight * (float64(tokens) - p.meanHeldTokens)
}
