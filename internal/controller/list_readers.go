package controller

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"shaletrestle/coord/deflate"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/discovery"
	"shaletrestle/internal/state"
)

const (
	// otherReaderFrom is the number of replicas from which the primary has the list read by the member that is nearest to
	// the platform: a listing has some 220 bytes a replica, which would cross zones each time.
	otherReaderFrom = 100
	// otherReaderTimeout is the least time that another member has for a listing, and maxOtherReaderTimeout the most; in
	// between it is twice what a listing takes from here. The primary reads the list itself after it, in the same turn.
	otherReaderTimeout    = 300 * time.Millisecond
	maxOtherReaderTimeout = 1 * time.Second
	// otherReaderRetry is how long a member that failed is not asked.
	otherReaderRetry = 30 * time.Second
	// maxListBytes bounds a listing of another member, decompressed.
	maxListBytes = 24 << 20
)

// errListNotRead says that another member could not read the list.
var errListNotRead = errors.New("list not read by the member asked")

// listReaders is what the primary knows of who is near to the platform. Which member reads the list is a matter of cost
// alone: the primary decides on each listing, one after the other, while it holds the lease.
type listReaders struct {
	mu         sync.Mutex               // guards what follows
	own        time.Duration            // round trip from here; 0: not measured
	ownTook    time.Duration            // the newest listing from here
	roundTrips map[string]time.Duration // of the other members that were asked, by address
	failedAt   map[string]time.Time     // by address
	last       []*state.Replica         // the newest listing, if it has otherReaderFrom replicas or more
	lastDigest []byte                   // of last
}

// next is the address of the member that is to read the list; empty if it is this one. Each candidate is asked once, then
// the nearest one.
func (r *listReaders) next(candidates []rpc.Member, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.last) < otherReaderFrom || r.own == 0 {
		return ""
	}
	nearest, best := "", r.own
	for _, candidate := range candidates {
		if failedAt, failed := r.failedAt[candidate.Address]; failed && now.Sub(failedAt) < otherReaderRetry {
			continue
		}
		roundTrip, asked := r.roundTrips[candidate.Address]
		if !asked {
			return candidate.Address
		}
		if roundTrip < best {
			nearest, best = candidate.Address, roundTrip
		}
	}
	return nearest
}

// recordOwn takes a listing read here, and how long it took.
func (r *listReaders) recordOwn(listing *discovery.Listing, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own, r.ownTook = listing.RoundTrip, took
	r.keep(listing.Replicas)
}

// timeout is how long another member may take over a listing.
func (r *listReaders) timeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(max(2*r.ownTook, otherReaderTimeout), maxOtherReaderTimeout)
}

// recordOther takes a listing of another member.
func (r *listReaders) recordOther(address string, listed []*state.Replica, roundTrip time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roundTrips[address] = roundTrip
	r.keep(listed)
}

// recordFailure keeps a member from being asked for a while.
func (r *listReaders) recordFailure(address string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedAt[address] = now
}

// keep remembers a listing, for members that find the same again. The caller holds the lock.
func (r *listReaders) keep(listed []*state.Replica) {
	r.last, r.lastDigest = nil, nil
	if len(listed) < otherReaderFrom {
		return
	}
	digest := state.ReplicasDigest(listed)
	r.last, r.lastDigest = listed, digest[:]
}

func (r *listReaders) newest() (listed []*state.Replica, digest []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last, r.lastDigest
}

// readListNearby reads the list by the member that is nearest to the platform, or from here.
func (c *Controller) readListNearby() ([]*state.Replica, error) {
	return c.readListAmong(c.readerCandidates())
}

func (c *Controller) readListAmong(candidates []rpc.Member) ([]*state.Replica, error) {
	if address := c.list.readers.next(candidates, time.Now()); address != "" {
		listed, err := c.readListBy(address)
		if err == nil {
			return listed, nil
		}
		c.list.readers.recordFailure(address, time.Now())
		c.list.log.Info("list not read by another member", "member", address, "error", err.Error())
	}
	start := time.Now()
	listing, err := c.list.read(c.ctx)
	if err != nil {
		return nil, err
	}
	c.list.readers.recordOwn(listing, time.Since(start))
	return listing.Replicas, nil
}

// readerCandidates are members of other zones, one a zone: the one with the lowest address. Only members with a disk are
// asked: the others share small machines.
func (c *Controller) readerCandidates() []rpc.Member {
	byZone := map[string]rpc.Member{}
	for _, member := range c.member.WritableMembers() {
		known, found := byZone[member.Zone]
		if member.Zone != c.settings.Zone && (!found || compareAddresses(member.Address, known.Address) < 0) {
			byZone[member.Zone] = member
		}
	}
	return slices.SortedFunc(maps.Values(byZone), func(a, b rpc.Member) int { return compareAddresses(a.Address, b.Address) })
}

// compareAddresses orders addresses by their numbers; those that can't be read as text.
func compareAddresses(a, b string) int {
	first, errFirst := netip.ParseAddrPort(a)
	second, errSecond := netip.ParseAddrPort(b)
	if errFirst != nil || errSecond != nil {
		return cmp.Compare(a, b)
	}
	return first.Compare(second)
}

// readListBy asks another member to read the list. It is told which listing is known here, and says only so if it finds the
// same one.
func (c *Controller) readListBy(address string) ([]*state.Replica, error) {
	known, digest := c.list.readers.newest()
	question := &rpc.Message{Kind: rpc.List, From: c.member.Self(), Body: digest}
	answer, err := c.pool.Call(address, question, c.list.readers.timeout())
	if err != nil {
		return nil, err
	}
	if !answer.OK {
		return nil, errors.WithStack(errListNotRead)
	}
	listed := known
	if answer.Body != nil {
		if listed, err = decodeList(answer.Body); err != nil {
			return nil, err
		}
	}
	c.list.readers.recordOther(address, listed, time.Duration(answer.Duration))
	return listed, nil
}

func decodeList(body []byte) ([]*state.Replica, error) {
	encoded, err := deflate.Decompress(body, maxListBytes)
	if err != nil {
		return nil, err
	}
	return state.DecodeReplicas(encoded)
}

// handleList reads the list for the primary, whose newest listing has the digest in Body. The reply has OK if it was read,
// the round trip to the platform in Duration, and the listing in Body unless it is that one. A message that is no call has
// nobody to read for: nil.
func (c *Controller) handleList(message *rpc.Message) *rpc.Message {
	if message.Call == 0 {
		return nil
	}
	listing, err := c.list.read(c.ctx)
	if err != nil {
		c.list.log.Info("cannot read replica list for the primary", "primary", message.From.Address, "error", err.Error())
		return message.Reply(false)
	}
	reply := message.Reply(true)
	reply.Duration = uint64(listing.RoundTrip)
	if digest := state.ReplicasDigest(listing.Replicas); !slices.Equal(digest[:], message.Body) {
		reply.Body = deflate.Compress(state.EncodeReplicas(listing.Replicas))
	}
	return reply
}
