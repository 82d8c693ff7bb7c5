package state

import (
	"encoding/json"

	"shaletrestle/internal/config"
)

// Kind names a type of event in its JSON and in logs.
type Kind string

// The kinds as they are stored.
const (
	kindPutConfig         Kind = "put"
	kindPatchConfig       Kind = "patch"
	kindEvacuateZone      Kind = "evacuate"
	kindReadmitZone       Kind = "return"
	kindUpdateReplicas    Kind = "list"
	kindUpdateFleet       Kind = "fleet"
	kindUpdateControllers Kind = "houses"
	kindUpdateSuspects    Kind = "health"
)

// Event is one change of the state. Its types are [PutConfig], [PatchConfig], [EvacuateZone], [ReadmitZone],
// [UpdateReplicas], [UpdateFleet], [UpdateControllers] and [UpdateSuspects]; no others are written or read. An event
// is not changed after it was made. Where changes are notified ([Store.OnChange]), a nil Event stands for a snapshot.
type Event interface {
	// Kind is the stored name of the event's type.
	Kind() Kind
	// applyTo changes next, which is a copy of the view before; what maps and slices hold is shared with that view.
	applyTo(next *View) error
	// fields gives the event's stored form.
	fields() eventJSON
}

// ConfigEvent is an event that changes the configuration: a [PutConfig] or a [PatchConfig].
type ConfigEvent interface {
	Event
	// BaseRevision is the revision that the change was built on; it is rejected on any other.
	BaseRevision() int64
	// Malformed says that the change is invalid on any revision, as far as its body shows; nil if that is not known.
	Malformed() error
	// WithoutDigest is the event as followers get it: they keep no history.
	WithoutDigest() ConfigEvent
	// identity distinguishes this change from others on the same revision.
	identity() string
	// replay applies a change that was checked when it was accepted.
	replay(*config.Replay) error
}

// ConfigChange is what the two events of the configuration have in common.
type ConfigChange struct {
	Base   int64           // the revision that the change was built on; 0 before the first configuration
	Body   json.RawMessage // as the operator sent it
	Digest []byte          // config.Digest of the change, for the history; entries of older logs carry none

	malformed error // of a change that was made from a body that can't be read; nil for one that was decoded
}

// Malformed says that the body can't be read, so that the change is invalid on any revision; nil if it can, and for changes
// that were decoded. It is known without the state: such a change need not be proposed.
func (c ConfigChange) Malformed() error { return c.malformed }

// BaseRevision is the revision that the change was built on.
func (c ConfigChange) BaseRevision() int64 { return c.Base }

func (c ConfigChange) identity(kind Kind) string {
	if len(c.Digest) == digestBytes {
		return string(c.Digest)
	}
	return string(config.Digest(string(kind), c.Base, c.Body))
}

func (c ConfigChange) fields(kind Kind) eventJSON {
	return eventJSON{Kind: kind, Base: c.Base, Body: c.Body, Digest: c.Digest}
}

func (c ConfigChange) withoutDigest() ConfigChange { return ConfigChange{Base: c.Base, Body: c.Body} }

func newConfigChange(kind Kind, base int64, body []byte) ConfigChange {
	digest, malformed := config.Identify(string(kind), base, body)
	return ConfigChange{Base: base, Body: body, Digest: digest, malformed: malformed}
}

// PutConfig replaces the configuration.
type PutConfig struct{ ConfigChange }

// NewPutConfig makes the event of an operator's complete configuration, built on revision base.
func NewPutConfig(base int64, body []byte) PutConfig {
	return PutConfig{newConfigChange(kindPutConfig, base, body)}
}

// Kind is "put".
func (PutConfig) Kind() Kind { return kindPutConfig }

// WithoutDigest is the event as followers get it.
func (e PutConfig) WithoutDigest() ConfigEvent { return PutConfig{e.withoutDigest()} }

func (e PutConfig) identity() string  { return e.ConfigChange.identity(kindPutConfig) }
func (e PutConfig) fields() eventJSON { return e.ConfigChange.fields(kindPutConfig) }

func (e PutConfig) applyTo(next *View) (err error) {
	if err := next.expectRevision(e.Base); err != nil {
		return err
	}
	next.Config, err = next.Config.Put(e.Body)
	return err
}

func (e PutConfig) replay(to *config.Replay) error { return to.Put(e.Body) }

// PatchConfig upserts and removes named items of the configuration.
type PatchConfig struct{ ConfigChange }

// NewPatchConfig makes the event of an operator's changes, built on revision base.
func NewPatchConfig(base int64, body []byte) PatchConfig {
	return PatchConfig{newConfigChange(kindPatchConfig, base, body)}
}

// Kind is "patch".
func (PatchConfig) Kind() Kind { return kindPatchConfig }

// WithoutDigest is the event as followers get it.
func (e PatchConfig) WithoutDigest() ConfigEvent { return PatchConfig{e.withoutDigest()} }

func (e PatchConfig) identity() string  { return e.ConfigChange.identity(kindPatchConfig) }
func (e PatchConfig) fields() eventJSON { return e.ConfigChange.fields(kindPatchConfig) }

func (e PatchConfig) applyTo(next *View) (err error) {
	if err := next.expectRevision(e.Base); err != nil {
		return err
	}
	next.Config, err = next.Config.Patch(e.Body)
	return err
}

func (e PatchConfig) replay(to *config.Replay) error { return to.Patch(e.Body) }

// EvacuateZone takes a zone out of use: its replicas get no more requests.
type EvacuateZone struct{ Zone string }

// Kind is "evacuate".
func (EvacuateZone) Kind() Kind { return kindEvacuateZone }

func (e EvacuateZone) fields() eventJSON { return eventJSON{Kind: kindEvacuateZone, Zone: e.Zone} }

func (e EvacuateZone) applyTo(next *View) error {
	next.Evacuated = copyWithout(next.Evacuated, e.Zone)
	next.Evacuated[e.Zone] = true
	return nil
}

// ReadmitZone ends the evacuation of a zone.
type ReadmitZone struct{ Zone string }

// Kind is "return".
func (ReadmitZone) Kind() Kind { return kindReadmitZone }

func (e ReadmitZone) fields() eventJSON { return eventJSON{Kind: kindReadmitZone, Zone: e.Zone} }

func (e ReadmitZone) applyTo(next *View) error {
	next.Evacuated = copyWithout(next.Evacuated, e.Zone)
	return nil
}

// UpdateReplicas carries what changed on the platform's list of replicas.
type UpdateReplicas struct {
	Changed []*Replica // new ones and those with another entry
	Removed []string   // ids
}

// Kind is "list".
func (UpdateReplicas) Kind() Kind { return kindUpdateReplicas }

func (e UpdateReplicas) fields() eventJSON {
	return eventJSON{Kind: kindUpdateReplicas, Replicas: e.Changed, Removed: e.Removed}
}

func (e UpdateReplicas) applyTo(next *View) error {
	replicas := make(map[string]*Replica, len(next.Replicas)+len(e.Changed))
	for id, replica := range next.Replicas {
		replicas[id] = replica
	}
	for _, id := range e.Removed {
		delete(replicas, id)
	}
	for _, replica := range e.Changed {
		replicas[replica.ID] = replica
	}
	next.Replicas, next.ReplicasKnown = replicas, true
	return nil
}

// UpdateFleet carries which routers share the budgets. [NewUpdateFleet] makes it.
type UpdateFleet struct {
	Size        int      // of the fleet after the event
	Nodes       []string // sorted addresses: all, or with Incremental those that came
	Removed     []string // sorted addresses, with Incremental
	Incremental bool     // nodes that are not named stayed
}

// Kind is "fleet".
func (UpdateFleet) Kind() Kind { return kindUpdateFleet }

func (e UpdateFleet) fields() eventJSON {
	return eventJSON{Kind: kindUpdateFleet, Size: e.Size, Nodes: e.Nodes, Removed: e.Removed, Incremental: e.Incremental}
}

func (e UpdateFleet) applyTo(next *View) error {
	next.FleetSize, next.Nodes = e.Size, e.nodesAfter(next.Nodes)
	return nil
}

// UpdateControllers carries the addresses of the control members.
type UpdateControllers struct{ Controllers []Controller }

// Kind is "houses".
func (UpdateControllers) Kind() Kind { return kindUpdateControllers }

func (e UpdateControllers) fields() eventJSON {
	return eventJSON{Kind: kindUpdateControllers, Controllers: e.Controllers}
}

func (e UpdateControllers) applyTo(next *View) error {
	next.Controllers = e.Controllers
	return nil
}

// UpdateSuspects names the replicas that the experience of the whole fleet makes suspect. It is valid for a bounded
// time (package coord/outlier) and is no part of the view.
type UpdateSuspects struct{ Replicas []string } // ids

// Kind is "health".
func (UpdateSuspects) Kind() Kind { return kindUpdateSuspects }

func (e UpdateSuspects) fields() eventJSON {
	return eventJSON{Kind: kindUpdateSuspects, Suspects: e.Replicas}
}

func (UpdateSuspects) applyTo(*View) error { return nil }

// ChangesPlacement reports whether an event may change which replicas get requests. A snapshot (nil) may.
func ChangesPlacement(e Event) bool {
	switch e.(type) {
	case nil, UpdateReplicas, EvacuateZone, ReadmitZone:
		return true
	}
	return false
}

// copyWithout copies a set and leaves one member out. The copy is never nil.
func copyWithout(set map[string]bool, excluded string) map[string]bool {
	out := make(map[string]bool, len(set)+1)
	for member := range set {
		out[member] = true
	}
	delete(out, excluded)
	return out
}
