package state

import "slices"

// ReplicaReady is the State of a replica that takes requests. All other states are the platform's own.
const ReplicaReady = "ready"

// Replica is one entry of the platform's list. Its keys are those of the list ("Discovery" in the pages) and of
// stored views.
type Replica struct {
	ID               string  `json:"replica_id"`
	Pool             string  `json:"backend_pool"` // the service that it belongs to
	Address          string  `json:"address"`      // host and port
	Zone             string  `json:"zone"`
	SoftwareRevision string  `json:"revision"`
	Slots            int     `json:"slots"` // requests that it runs at once
	State            string  `json:"state"` // [ReplicaReady] if it takes requests
	WarmupLeftMs     float64 `json:"warmup_left_ms"`
	Stage            string  `json:"stage,omitempty"`
	Models           []Model `json:"models,omitempty"`
}

// Model is a model that a replica serves, and the revision of its weights.
type Model struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

// Equal reports whether two entries say the same, as far as followers need to know: that a replica is warming up
// counts, how long it still does is left out, as it changes with each reading. No entry equals nil.
func (r *Replica) Equal(other *Replica) bool {
	if other == nil {
		return false
	}
	sameMachine := r.ID == other.ID && r.Pool == other.Pool && r.Address == other.Address && r.Zone == other.Zone
	sameWork := r.SoftwareRevision == other.SoftwareRevision && r.Slots == other.Slots && r.Stage == other.Stage
	sameState := r.State == other.State && (r.WarmupLeftMs > 0) == (other.WarmupLeftMs > 0)
	return sameMachine && sameWork && sameState && slices.Equal(r.Models, other.Models)
}

// Controller is a control member.
type Controller struct {
	Address string `json:"addr"` // for messages between processes
	Zone    string `json:"loc"`
}
