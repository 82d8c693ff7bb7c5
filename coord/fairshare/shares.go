// Package fairshare divides a bounded resource among its users. While there is
// plenty, any user may take it; when it is crowded, no user takes more than a
// fair share, so that a heavy user can't push a light one out.
package fairshare

import (
	"sort"
	"sync"
)

// Shares is one bounded resource.
type Shares struct {
	mu        sync.Mutex
	capacity  int64
	threshold float64 // part of the capacity below which nobody is held to a share
	used      int64   // by all users
	usedBy    map[string]int64
	refusedTo map[string]int64 // number of refusals
}

// New makes a resource of a capacity. While no more than the threshold, a part
// of the capacity, is used, nobody is held to a share.
func New(capacity int64, threshold float64) *Shares {
	return &Shares{
		capacity:  capacity,
		threshold: threshold,
		usedBy:    map[string]int64{},
		refusedTo: map[string]int64{},
	}
}

// Resize changes the capacity; what is used beyond a smaller one stays until it
// is given back.
func (p *Shares) Resize(capacity int64) {
	p.mu.Lock()
	p.capacity = capacity
	p.mu.Unlock()
}

// TryAcquire lets a user have an amount more if there is room and, when it is crowded,
// if that stays inside a fair share.
func (p *Shares) TryAcquire(user string, amount int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.allows(user, amount) {
		p.refusedTo[user]++
		return false
	}
	p.add(user, amount)
	return true
}

func (p *Shares) allows(user string, amount int64) bool {
	after := p.used + amount
	if after > p.capacity {
		return false
	}
	crowded := float64(after) > p.threshold*float64(p.capacity)
	return !crowded || p.usedBy[user]+amount <= p.fairShare(user)
}

// Acquire books an amount without a check, for what is in use already.
func (p *Shares) Acquire(user string, amount int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(user, amount)
}

// Release returns an amount.
func (p *Shares) Release(user string, amount int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(user, -amount)
}

// add books an amount; a user who returns more than was taken returns what was
// taken.
func (p *Shares) add(user string, amount int64) {
	p.usedBy[user] += amount
	if p.usedBy[user] <= 0 {
		amount -= p.usedBy[user]
		delete(p.usedBy, user)
	}
	p.used += amount
}

// fairShare divides the capacity by one more than there are users, this one
// included, so that a share is left for a newcomer.
func (p *Shares) fairShare(user string) int64 {
	shares := len(p.usedBy) + 1
	if _, known := p.usedBy[user]; !known {
		shares++
	}
	return max(1, p.capacity/int64(shares))
}

// OverCapacity tells whether more is used than the capacity.
func (p *Shares) OverCapacity() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used > p.capacity
}

// HeaviestUser names the user that holds most; among equals, the first by name.
func (p *Shares) HeaviestUser() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	heaviest := ""
	for user, amount := range p.usedBy {
		most := p.usedBy[heaviest]
		if heaviest == "" || amount > most || amount == most && user < heaviest {
			heaviest = user
		}
	}
	return heaviest
}

// UserShare is one user's share.
type UserShare struct {
	User     string `json:"who"`
	Used     int64  `json:"used"`
	Rejected int64  `json:"turned_away"` // number of refusals
}

// UserShares lists the users, the heaviest first.
func (p *Shares) UserShares() []UserShare {
	p.mu.Lock()
	defer p.mu.Unlock()
	var shares []UserShare
	for user, amount := range p.usedBy {
		shares = append(shares, UserShare{User: user, Used: amount, Rejected: p.refusedTo[user]})
	}
	for user, refusals := range p.refusedTo {
		if _, listed := p.usedBy[user]; !listed {
			shares = append(shares, UserShare{User: user, Rejected: refusals})
		}
	}
	sort.Slice(shares, func(i, j int) bool {
		if shares[i].Used != shares[j].Used {
			return shares[i].Used > shares[j].Used
		}
		return shares[i].User < shares[j].User
	})
	return shares
}
