package simtest

import "time"

// counts is what the judge adds up over a scenario.
type counts struct {
	kinds    map[string]*kindCount    // by route
	subjects map[string]*subjectCount // by route and subject
}

func newCounts() counts {
	return counts{kinds: map[string]*kindCount{}, subjects: map[string]*subjectCount{}}
}

// kindCount is how often one route's requests came and were served.
type kindCount struct {
	route               *route
	asked, served       int
	calmAsked, calmGood int // of those in a calm time, when the route was in force everywhere
}

func (k *kindCount) share() float64 { return share(k.served, k.asked) }

func (k *kindCount) calmShare() float64 { return share(k.calmGood, k.calmAsked) }

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

// add counts one exchange; the caller holds the world.
func (w *World) add(x *exchange) {
	if x.route == nil {
		return
	}
	k := w.counts.kinds[x.route.Name]
	if k == nil {
		k = &kindCount{}
		w.counts.kinds[x.route.Name] = k
	}
	k.route = x.route
	k.asked++
	calm := w.calmSince(x.sentAt) && x.sentAt.Sub(x.route.since) > configApply
	if calm {
		k.calmAsked++
	}
	if x.served() {
		k.served++
		if calm {
			k.calmGood++
		}
	}
	w.addSubject(x)
}

func (w *World) addSubject(x *exchange) {
	if x.subject == "" {
		return
	}
	key := x.route.Name + " " + x.subject
	s := w.counts.subjects[key]
	if s == nil {
		s = &subjectCount{first: x.sentAt}
		w.counts.subjects[key] = s
	}
	s.asked++
	s.last = x.sentAt
	if x.served() {
		s.served++
	}
}
