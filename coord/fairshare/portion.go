// Package fairshare divides something bounded among its users: while there is plenty anybody may take it, when it is crowded nobody takes more than a fair portion, so that a heavy user can't push a light one out.
package fairshare

import (
	"sort"
	"sync"
)

// Pie is one bounded thing.
type Pie struct {
	mu   sync.Mutex
	room int64
	calm float64
	sum  int64
	used map[string]int64
	turn map[string]int64 // what was turned away
}

// New makes a pie of a size; below the calm part of it nobody is held to a portion.
func New(room int64, calm float64) *Pie {
	return &Pie{room: room, calm: calm, used: map[string]int64{}, turn: map[string]int64{}}
}

// Resize changes the room; what is used over a smaller one stays until it is given back.
func (p *Pie) Resize(room int64) {
	p.mu.Lock()
	p.room = room
	p.mu.Unlock()
}

// Take lets a user have n more if there is room and, when it is crowded, if that stays inside a fair portion. One that holds nothing yet counts as a user, and a portion more is left for one that comes.
func (p *Pie) Take(who string, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sum+n > p.room || float64(p.sum+n) > p.calm*float64(p.room) && p.used[who]+n > p.fair(who) {
		p.turn[who]++
		return false
	}
	p.add(who, n)
	return true
}

// Add books n without asking, as for what is there already.
func (p *Pie) Add(who string, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(who, n)
}

func (p *Pie) add(who string, n int64) {
	if p.used[who] += n; p.used[who] <= 0 {
		n -= p.used[who]
		delete(p.used, who)
	}
	p.sum += n
}

// Give returns n.
func (p *Pie) Give(who string, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(who, -n)
}

// fair leaves one portion more than there are users, for one that comes.
func (p *Pie) fair(who string) int64 {
	users := len(p.used) + 1
	if _, in := p.used[who]; !in {
		users++
	}
	return max(1, p.room/int64(users))
}

// Full tells whether more is used than there is room for.
func (p *Pie) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sum > p.room
}

// Heaviest names the user that holds most, who is the one to give way.
func (p *Pie) Heaviest() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := ""
	for w, n := range p.used {
		if best == "" || n > p.used[best] || n == p.used[best] && w < best {
			best = w
		}
	}
	return best
}

// Slice is one user's part.
type Slice struct {
	Who    string `json:"who"`
	Used   int64  `json:"used"`
	Turned int64  `json:"turned_away"`
}

// Slices lists the users, heaviest first.
func (p *Pie) Slices() []Slice {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[string]bool{}
	var out []Slice
	for _, m := range []map[string]int64{p.used, p.turn} {
		for w := range m {
			if !seen[w] {
				seen[w] = true
				out = append(out, Slice{w, p.used[w], p.turn[w]})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Used != out[j].Used {
			return out[i].Used > out[j].Used
		}
		return out[i].Who < out[j].Who
	})
	return out
}
