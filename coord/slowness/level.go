// Package slowness tells whether this machine has turned slow: by a small fixed piece of work against its usual time and by how late own timers come, held against what other nodes say of themselves.
package slowness

import (
	"sort"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
)

type peer struct {
	slow bool
	at   int // the step at which it was heard
}

// Level is the state of one process. It is a pure state machine: time passes with its steps.
type Level struct {
	n     int
	first []float64
	usual float64 // of the piece of work
	bad   int     // steps in a row with evidence
	good  int     // and without
	slow  bool
	since int // the step at which it turned slow
	out   int // steps for which new connections have been turned away
	peers map[string]peer
}

// NewLevel makes a level that knows nothing yet.
func NewLevel() *Level { return &Level{peers: map[string]peer{}} }

// Step takes one observation: how long the piece of work took and how late the timer before it came.
func (l *Level) Step(work, late clock.Span) {
	l.n++
	for k, p := range l.peers {
		if l.n-p.at > constants.LevelHeard {
			delete(l.peers, k)
		}
	}
	w := float64(work)
	heavy := l.usual > 0 && w >= constants.LevelEnter*l.usual || late >= constants.LevelLate
	light := l.usual == 0 || w < constants.LevelLeave*l.usual && late < constants.LevelLate/2
	switch {
	case heavy:
		l.bad, l.good = l.bad+1, 0
	case light:
		l.bad, l.good = 0, l.good+1
	default:
		l.bad, l.good = 0, 0
	}
	if !l.slow && l.bad >= constants.LevelBad {
		l.slow, l.since = true, l.n
	} else if l.slow && l.good >= constants.LevelGood {
		l.slow = false
	}
	if !heavy && !l.slow {
		l.learn(w)
	}
	if l.slow && l.othersWell() {
		l.out++
	} else {
		l.out = 0
	}
}

func (l *Level) learn(w float64) {
	if w <= 0 {
		return
	}
	if l.usual > 0 {
		l.usual += (w - l.usual) * constants.LevelLearn
		return
	}
	if l.first = append(l.first, w); len(l.first) == constants.LevelFirst {
		sort.Float64s(l.first)
		l.usual, l.first = l.first[len(l.first)/2], nil
	}
}

// Hear takes what another node said of itself.
func (l *Level) Hear(node string, slow bool) { l.peers[node] = peer{slow, l.n} }

// othersWell tells whether at least half of the nodes are well, of those heard since this one turned slow and had time to be joined in it: if most are slow, or none was heard, nobody is better than this one.
func (l *Level) othersWell() bool {
	well, all := 0, 0
	for _, p := range l.peers {
		if p.at < l.since+constants.LevelAfter {
			continue
		}
		all++
		if !p.slow {
			well++
		}
	}
	return well > 0 && 2*well >= all
}

// Slow tells whether this machine is much slower than usual, whatever the others are.
func (l *Level) Slow() bool { return l.slow }

// Out tells whether new connections should go elsewhere.
func (l *Level) Out() bool { return l.out > 0 }

// Shed tells whether open connections should move too: new ones have been turned away long enough for the platform to have noticed.
func (l *Level) Shed() bool { return l.out > constants.LevelShed }

// State is for the state page.
type State struct {
	Slow    bool    `json:"slow"`
	Out     bool    `json:"out"`
	UsualUs float64 `json:"usual_us"`
	Heard   int     `json:"heard"`
}

// State tells what this level knows.
func (l *Level) State() State {
	return State{l.slow, l.Out(), l.usual / 1e3, len(l.peers)}
}
