package simtest

import "time"

// counts is what the judge adds up over a scenario.
type counts struct {
	routes   map[string]*routeCount   // by route
	subjects map[string]*subjectCount // by route and subject
}

func newCounts() counts {
	return counts{routes: map[string]*routeCount{}, subjects: map[string]*subjectCount{}}
}

// routeCount is how often one route's requests came and were served.
type routeCount struct {
	route                 *route
	asked, served         int
	calmAsked, calmServed int // of those in a calm time, when the route was in force everywhere
}

func (k *routeCount) share() float64 { return share(k.served, k.asked) }

func (k *routeCount) calmShare() float64 { return share(k.calmServed, k.calmAsked) }

func share(part, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(part) / float64(all)
}

// subjectCount is the same for what a prompt is about.
type subjectCount struct {
	asked, served int
	first, last   time.Time
}

// countExchange counts one exchange; the caller holds the simulation's lock.
func (sim *Simulation) countExchange(x *exchange) {
	if x.route == nil {
		return
	}
	k := sim.counts.routes[x.route.Name]
	if k == nil {
		k = &routeCount{}
		sim.counts.routes[x.route.Name] = k
	}
	k.route = x.route
	k.asked++
	calm := sim.isCalmSince(x.sentAt) && x.sentAt.Sub(x.route.since) > configApply
	if calm {
		k.calmAsked++
	}
	if x.served() {
		k.served++
		if calm {
			k.calmServed++
		}
	}
	sim.countSubject(x)
}

func (sim *Simulation) countSubject(x *exchange) {
	if x.subject == "" {
		return
	}
	key := x.route.Name + " " + x.subject
	s := sim.counts.subjects[key]
	if s == nil {
		s = &subjectCount{first: x.sentAt}
		sim.counts.subjects[key] = s
	}
	s.asked++
	s.last = x.sentAt
	if x.served() {
		s.served++
	}
}
