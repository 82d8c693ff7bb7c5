package counter

import "time"

// Status is what a member knows, for a state page and for metrics.
type Status struct {
	HasTotals   bool
	Partitioned bool // too few disks are reached, and more members are silent than may be lost
	DiskUsable  bool
	Counters    int
	IDs         int
	Bytes       int // of memory, estimated
	Origins     int
	Taken       uint64 // additions that this incarnation took
	Synced      uint64 // of those, synced on the own disk
	Peers       []PeerStatus
}

// PeerStatus is what is known of another member.
type PeerStatus struct {
	Member
	Reachable bool
	HasDisk   bool
	HasTotals bool
	// Waiting is how many additions that this incarnation took are not known to be synced there.
	Waiting uint64
	// WaitingFor is the time since when there have been such additions without a break; 0 if there are none.
	WaitingFor time.Duration
	// Behind reports whether it holds additions that this member lacks.
	Behind bool
}

// Status returns what this member knows.
func (c *Core) Status() Status {
	own := c.set.Count(c.config.Origin)
	status := Status{
		HasTotals:   c.config.HasDisk && c.complete && c.caughtUp,
		Partitioned: c.config.HasDisk && !c.canReachEnough() && c.isPartitioned(),
		DiskUsable:  c.config.HasDisk && c.disk.isUsable(c.now),
		Counters:    c.set.Counters(),
		IDs:         c.set.IDs(),
		Bytes:       c.set.Bytes(),
		Origins:     len(c.set.origins),
		Taken:       own,
		Synced:      c.disk.durable[c.config.Origin],
	}
	for _, p := range c.peers.sorted {
		peer := PeerStatus{Member: p.member, Reachable: p.isReachable(), HasDisk: p.hasDisk, HasTotals: p.complete}
		if p.hasDisk {
			peer.Waiting = own - min(own, p.durable)
		}
		if peer.Waiting > 0 {
			peer.WaitingFor = c.now - p.waitingSince
		}
		for origin, count := range p.vector {
			peer.Behind = peer.Behind || count > c.set.Count(origin)
		}
		status.Peers = append(status.Peers, peer)
	}
	return status
}

// noteWaiting notes since when each member lacks additions that this incarnation took.
func (c *Core) noteWaiting() {
	own := c.set.Count(c.config.Origin)
	for _, p := range c.peers.sorted {
		if p.durable >= own {
			p.waitingSince = c.now
		}
	}
}
