package fairshare

import (
	"cmp"
	"slices"
	"sync"
)

// Shares is one bounded resource, in any unit. It is safe for concurrent use.
type Shares struct {
	threshold float64 // fraction of the capacity in use, up to which no user is limited to a share

	mu         sync.Mutex // guards what follows
	capacity   int64
	used       int64 // by all users
	usedBy     map[string]int64
	rejections map[string]int64 // by user
}

// New returns a resource of a capacity. While no more than the threshold, a fraction of the capacity, is used, no user is
// limited to a share; with 1 none ever is.
func New(capacity int64, threshold float64) *Shares {
	return &Shares{
		threshold:  threshold,
		capacity:   capacity,
		usedBy:     map[string]int64{},
		rejections: map[string]int64{},
	}
}

// Resize changes the capacity; what is used beyond a smaller one stays until it is released.
func (s *Shares) Resize(capacity int64) {
	s.mu.Lock()
	s.capacity = capacity
	s.mu.Unlock()
}

// TryAcquire lets a user have an amount more if there is room and, beyond the threshold, if that stays inside a fair share.
// It never waits; false counts as a rejection.
func (s *Shares) TryAcquire(user string, amount int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.allows(user, amount) {
		s.rejections[user]++
		return false
	}
	s.add(user, amount)
	return true
}

func (s *Shares) allows(user string, amount int64) bool {
	after := s.used + amount
	if after > s.capacity {
		return false
	}
	scarce := float64(after) > s.threshold*float64(s.capacity)
	return !scarce || s.usedBy[user]+amount <= s.fairShare(user)
}

// ExceedsShare reports whether an amount more would be over a user's fair share, whether there is room or not.
func (s *Shares) ExceedsShare(user string, amount int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usedBy[user]+amount > s.fairShare(user)
}

// Acquire counts an amount for a user without a check, for what is in use already.
func (s *Shares) Acquire(user string, amount int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(user, amount)
}

// Release returns an amount; a user who returns more than was taken returns what was taken.
func (s *Shares) Release(user string, amount int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(user, -amount)
}

// add changes what a user has, never below 0: more than that is not given back to the capacity.
func (s *Shares) add(user string, amount int64) {
	s.usedBy[user] += amount
	if s.usedBy[user] <= 0 {
		amount -= s.usedBy[user]
		delete(s.usedBy, user)
	}
	s.used += amount
}

// fairShare divides the capacity by one more than there are users, this one included, so that a share is left for a
// newcomer. It is one at least.
func (s *Shares) fairShare(user string) int64 {
	shares := len(s.usedBy) + 1
	if _, known := s.usedBy[user]; !known {
		shares++
	}
	return max(1, s.capacity/int64(shares))
}

// Used is what all users hold together.
func (s *Shares) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// OverCapacity reports whether more is used than the capacity.
func (s *Shares) OverCapacity() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used > s.capacity
}

// HeaviestUser names the user that holds the largest amount; among equals, the first by name. It is "" if nobody holds
// anything.
func (s *Shares) HeaviestUser() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	heaviest, largest := "", int64(0)
	for user, amount := range s.usedBy {
		if heaviest == "" || amount > largest || amount == largest && user < heaviest {
			heaviest, largest = user, amount
		}
	}
	return heaviest
}

// UserShare is one user's share. The keys of its JSON are those of the state page.
type UserShare struct {
	User     string `json:"who"`
	Used     int64  `json:"used"`
	Rejected int64  `json:"turned_away"` // number of rejections so far
}

// UserShares lists all users that hold something or were rejected, the heaviest first, equal ones by name.
func (s *Shares) UserShares() []UserShare {
	s.mu.Lock()
	defer s.mu.Unlock()
	var shares []UserShare
	for user, amount := range s.usedBy {
		shares = append(shares, UserShare{User: user, Used: amount, Rejected: s.rejections[user]})
	}
	for user, rejections := range s.rejections {
		if _, listed := s.usedBy[user]; !listed {
			shares = append(shares, UserShare{User: user, Rejected: rejections})
		}
	}
	slices.SortFunc(shares, func(a, b UserShare) int {
		return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.User, b.User))
	})
	return shares
}
