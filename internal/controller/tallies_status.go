package controller

import (
	"time"

	"shaletrestle/coord/counter"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/metrics"
)

// tallyState is the tallies on the state page.
type tallyState struct {
	HasTotals   bool        `json:"has_totals"`
	Partitioned bool        `json:"partitioned"`
	DiskUsable  bool        `json:"disk_usable"`
	Tallies     int         `json:"tallies"`
	IDs         int         `json:"ids"`
	MemoryBytes int         `json:"memory_bytes"`
	Taken       uint64      `json:"taken"`
	Synced      uint64      `json:"synced"`
	Peers       []tallyPeer `json:"peers"`
}

// tallyPeer is another controller on the state page.
type tallyPeer struct {
	Address    string `json:"address"`
	Domain     string `json:"domain"`
	Reachable  bool   `json:"reachable"`
	HasDisk    bool   `json:"has_disk"`
	HasTotals  bool   `json:"has_totals"`
	Waiting    uint64 `json:"waiting"`
	WaitingMs  int64  `json:"waiting_ms"`
	LackedHere bool   `json:"lacked_here"`
}

func (t *tallies) status() counter.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Status()
}

// mergeWatch remembers since when a member that answers has lacked additions. The zero value is ready.
type mergeWatch struct {
	lateSince time.Time // zero: none does
	logged    bool
}

// checkMerged logs when a member that answers has lacked additions for longer than merge_ms, and when none does any more.
func (t *tallies) checkMerged(now time.Time) {
	bound := durations.FromMilliseconds(t.settings.Bounds.MergeMs)
	if bound == 0 {
		return
	}
	watch := &t.merge
	late := lateMember(t.status(), bound)
	switch {
	case late == "":
		if watch.logged {
			t.log.Info("tallies merged")
		}
		*watch = mergeWatch{}
	case watch.lateSince.IsZero():
		watch.lateSince = now // it may have answered for the first time a moment ago
	case !watch.logged && now.Sub(watch.lateSince) >= bound:
		watch.logged = true
		t.log.Warn("tallies not merged in time", "peer", late, "bound_ms", bound.Milliseconds())
	}
}

// lateMember is the address of a member that answers and has lacked additions for longer than a bound; empty if there is none.
func lateMember(status counter.Status, bound time.Duration) string {
	for _, peer := range status.Peers {
		if peer.Reachable && peer.WaitingFor > bound {
			return peer.Address
		}
	}
	return ""
}

// state is what the state page shows; nil where the deployment has no tallies.
func (t *tallies) state() *tallyState {
	if t == nil {
		return nil
	}
	status := t.status()
	state := &tallyState{
		HasTotals:   status.HasTotals,
		Partitioned: status.Partitioned,
		DiskUsable:  status.DiskUsable,
		Tallies:     status.Counters,
		IDs:         status.IDs,
		MemoryBytes: status.Bytes,
		Taken:       status.Taken,
		Synced:      status.Synced,
	}
	for _, peer := range status.Peers {
		state.Peers = append(state.Peers, tallyPeer{
			Address:    peer.Address,
			Domain:     peer.Domain,
			Reachable:  peer.Reachable,
			HasDisk:    peer.HasDisk,
			HasTotals:  peer.HasTotals,
			Waiting:    peer.Waiting,
			WaitingMs:  peer.WaitingFor.Milliseconds(),
			LackedHere: peer.Behind,
		})
	}
	return state
}

// metrics are those of the tallies; none where the deployment has no tallies.
func (t *tallies) metrics() []metrics.Sample {
	if t == nil {
		return nil
	}
	status := t.status()
	gauge := func(name, help string, value float64) metrics.Sample {
		return metrics.Sample{Name: "controller_tallies_" + name, Help: help, Value: value}
	}
	samples := []metrics.Sample{
		gauge("has_totals", "1 if this process can be asked for totals.", oneIf(status.HasTotals)),
		gauge("partitioned", "1 if a partition keeps too many disks away and additions are synced on this side alone.", oneIf(status.Partitioned)),
		gauge("disk_usable", "1 if the own disk takes writes.", oneIf(status.DiskUsable)),
		gauge("names", "Tallies that have an addition.", float64(status.Counters)),
		gauge("ids", "Additions that count.", float64(status.IDs)),
		gauge("memory_bytes", "Memory that the additions take, estimated.", float64(status.Bytes)),
		gauge("unsynced", "Additions taken here and not synced on the own disk yet.", float64(status.Taken-status.Synced)),
	}
	for _, peer := range status.Peers {
		if !peer.HasDisk {
			continue
		}
		labels := []metrics.Label{{Name: "peer", Value: peer.Address}}
		samples = append(samples,
			metrics.Sample{Name: "controller_tallies_waiting", Help: "Additions taken here and not known to be synced by a peer.", Value: float64(peer.Waiting), Labels: labels},
			metrics.Sample{Name: "controller_tallies_waiting_age_seconds", Help: "Time since when such additions have been there; 0 if there are none.", Value: peer.WaitingFor.Seconds(), Labels: labels},
		)
	}
	return append(samples, t.counters()...)
}

// counters are the counts since the start of the process.
func (t *tallies) counters() []metrics.Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	samples := []metrics.Sample{{Name: "controller_tallies_write_failures_total", Help: "Writes of tallies that failed.", IsCounter: true, Value: float64(t.diskFails)}}
	for result := counter.AddAcknowledged; result <= counter.AddElsewhere; result++ {
		samples = append(samples, metrics.Sample{
			Name:      "controller_tallies_additions_total",
			Help:      "Additions asked for, by how they ended.",
			IsCounter: true,
			Value:     float64(t.results[result]),
			Labels:    []metrics.Label{{Name: "result", Value: result.String()}},
		})
	}
	return samples
}
