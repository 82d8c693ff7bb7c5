// Package state is what happens inside the system as a journal of events, and the view that is folded from it.
package state

import (
	"encoding/json"
	"sync"

	"go.uber.org/atomic"

	"shaletrestle/internal/config"
	"shaletrestle/internal/errkind"
)

// Event kinds.
const (
	Put         = "put"      // a whole configuration
	Patch       = "patch"    // named changes to it
	Evacuate    = "evacuate" // a locality takes nothing more
	Return      = "return"   // and takes it again
	List        = "list"     // changes of the platform's list
	Fleet       = "fleet"    // how many routers share the budgets
	Controllers = "houses"   // where the control members are
	Health      = "health"   // replicas that the fleet's experience makes suspect, for a while: no part of the view
)

// Event is one entry of the journal.
type Event struct {
	Kind        string          `json:"k"`
	Base        int64           `json:"base,omitempty"`
	Body        json.RawMessage `json:"body,omitempty"`
	Zone        string          `json:"loc,omitempty"`
	Replicas    []*Replica      `json:"rep,omitempty"`
	Gone        []string        `json:"gone,omitempty"`
	Size        int             `json:"size,omitempty"`
	Nodes       []string        `json:"nodes,omitempty"`
	Delta       bool            `json:"delta,omitempty"` // Nodes only came and Gone went, the others stayed
	Controllers []Controller    `json:"houses,omitempty"`
	Suspects    []string        `json:"sus,omitempty"`
	Digest      []byte          `json:"digest,omitempty"` // of a configuration order, for the memory of those taken
}

// FleetEvent is the event that brings a view from one sorted list of nodes to another: whole, or what came and went if that says it with less.
func FleetEvent(from, to []string) *Event {
	e := &Event{Kind: Fleet, Size: len(to), Delta: true}
	i, j := 0, 0
	for i < len(from) || j < len(to) {
		switch {
		case j == len(to) || i < len(from) && from[i] < to[j]:
			e.Gone = append(e.Gone, from[i])
			i++
		case i == len(from) || from[i] > to[j]:
			e.Nodes = append(e.Nodes, to[j])
			j++
		default:
			i, j = i+1, j+1
		}
	}
	if len(e.Gone)+len(e.Nodes) >= len(to) {
		return &Event{Kind: Fleet, Size: len(to), Nodes: to}
	}
	return e
}

// nodes gives the sorted list after a fleet event.
func (e *Event) nodes(old []string) []string {
	if !e.Delta {
		return e.Nodes
	}
	out := make([]string, 0, len(old)+len(e.Nodes))
	i, g := 0, 0
	for _, n := range old {
		for ; i < len(e.Nodes) && e.Nodes[i] < n; i++ {
			out = append(out, e.Nodes[i])
		}
		for g < len(e.Gone) && e.Gone[g] < n {
			g++
		}
		if g == len(e.Gone) || e.Gone[g] != n {
			out = append(out, n)
		}
	}
	return append(out, e.Nodes[i:]...)
}

func (e *Event) changesConfig() bool { return e.Kind == Put || e.Kind == Patch }

// orderDigest is the digest that the event carries; entries of older logs carry none.
func (e *Event) orderDigest() string {
	if len(e.Digest) == digestBytes {
		return string(e.Digest)
	}
	return string(config.Digest(e.Kind, e.Base, e.Body))
}

// OrderEvent is the event of an operator's order on the configuration.
func OrderEvent(kind string, base int64, body []byte) *Event {
	return &Event{Kind: kind, Base: base, Body: body, Digest: config.Digest(kind, base, body)}
}

// Places tells whether an event changes which replicas may be sent to; nil stands for a checkpoint, which may.
func (e *Event) ChangesPlacement() bool {
	return e == nil || e.Kind == List || e.Kind == Evacuate || e.Kind == Return
}

// Model is what a replica serves.
type Model struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

// Replica is one entry of the platform's list.
type Replica struct {
	ID               string  `json:"replica_id"`
	Pool             string  `json:"backend_pool"`
	Address          string  `json:"address"`
	Zone             string  `json:"zone"`
	SoftwareRevision string  `json:"revision"`
	Slots            int     `json:"slots"`
	State            string  `json:"state"`
	WarmupLeftMs     float64 `json:"warmup_left_ms"`
	Stage            string  `json:"stage,omitempty"`
	Models           []Model `json:"models,omitempty"`
}

// Same tells whether two entries say the same, cold or not counting but not for how long.
func (r *Replica) Equal(o *Replica) bool {
	if o == nil || r.ID != o.ID || r.Pool != o.Pool || r.Address != o.Address || r.Zone != o.Zone || r.SoftwareRevision != o.SoftwareRevision ||
		r.Slots != o.Slots || r.State != o.State || (r.WarmupLeftMs > 0) != (o.WarmupLeftMs > 0) || r.Stage != o.Stage || len(r.Models) != len(o.Models) {
		return false
	}
	for i, m := range r.Models {
		if m != o.Models[i] {
			return false
		}
	}
	return true
}

// Controller is a control member.
type Controller struct {
	Address string `json:"addr"`
	Zone    string `json:"loc"`
}

// View is the folded state. It is never changed after it was made.
type View struct {
	Config        *config.Document
	History       *History // nil where no orders are decided
	Evacuated     map[string]bool
	Replicas      map[string]*Replica
	ReplicasKnown bool
	FleetSize     int
	Nodes         []string
	Controllers   []Controller
}

type storedView struct {
	Doc      json.RawMessage `json:"doc,omitempty"`
	Orders   *History        `json:"orders,omitempty"`
	Evac     []string        `json:"evac,omitempty"`
	Replicas []*Replica      `json:"rep,omitempty"`
	Listed   bool            `json:"listed,omitempty"`
	Fleet    int             `json:"fleet,omitempty"`
	Nodes    []string        `json:"nodes,omitempty"`
	Houses   []Controller    `json:"houses,omitempty"`
}

// EmptyView is the view before the first event.
func EmptyView() *View {
	return &View{Config: config.Empty(), Evacuated: map[string]bool{}, Replicas: map[string]*Replica{}}
}

// Next gives the view after an event.
func (v *View) Next(e *Event) (*View, error) {
	n := *v
	var err error
	if e.changesConfig() && e.Base != v.Config.Revision {
		return nil, errkind.New(errkind.VersionConflict, "version %d is current", v.Config.Revision)
	}
	switch e.Kind {
	case Put:
		n.Config, err = v.Config.Put(e.Body)
	case Patch:
		n.Config, err = v.Config.Patch(e.Body)
	case Evacuate, Return:
		n.Evacuated = map[string]bool{}
		for k := range v.Evacuated {
			n.Evacuated[k] = true
		}
		delete(n.Evacuated, e.Zone)
		if e.Kind == Evacuate {
			n.Evacuated[e.Zone] = true
		}
	case List:
		n.Replicas = make(map[string]*Replica, len(v.Replicas)+len(e.Replicas))
		for k, r := range v.Replicas {
			n.Replicas[k] = r
		}
		for _, k := range e.Gone {
			delete(n.Replicas, k)
		}
		for _, r := range e.Replicas {
			n.Replicas[r.ID] = r
		}
		n.ReplicasKnown = true
	case Fleet:
		n.FleetSize, n.Nodes = e.Size, e.nodes(v.Nodes)
	case Controllers:
		n.Controllers = e.Controllers
	case Health:
	default:
		err = errkind.New(errkind.InvalidInput, "unknown event %q", e.Kind)
	}
	if err != nil {
		return nil, err
	}
	if e.changesConfig() && v.History != nil {
		n.History = v.History.with(e.Base, e.orderDigest())
	}
	return &n, nil
}

// Verdict tells whether a configuration order was taken before.
func (v *View) Outcome(e *Event) Outcome {
	return v.History.Outcome(e.Base, e.orderDigest(), v.Config.Revision)
}

// Encode gives an event's bytes.
func (e *Event) Encode() []byte {
	b, _ := json.Marshal(e)
	return b
}

// Book holds the newest view, folds events into it and tells who asks.
type Store struct {
	view    atomic.Pointer[View]
	mu      sync.Mutex
	watch   []func(old, now *View, e *Event)
	guarded bool
	decides bool // it keeps the memory of taken orders
}

// NewOrderBook makes the book of a process that decides on orders: it remembers those that were taken.
func NewOrderStore() *Store {
	b := &Store{decides: true}
	v := EmptyView()
	v.History = &History{}
	b.view.Store(v)
	return b
}

// NewBook makes a book. A guarded one never goes back to an older configuration.
func NewStore(guarded bool) *Store {
	b := &Store{guarded: guarded}
	b.view.Store(EmptyView())
	return b
}

// View is the newest view.
func (s *Store) View() *View { return s.view.Load() }

// Watch adds what is called after each change; e is nil after a checkpoint.
func (s *Store) OnChange(f func(old, now *View, e *Event)) {
	s.mu.Lock()
	s.watch = append(s.watch, f)
	s.mu.Unlock()
}

func (s *Store) set(n *View, e *Event) {
	old := s.view.Load()
	s.view.Store(n)
	for _, f := range s.watch {
		f(old, n, e)
	}
}

// Fold takes one event in; one that can't be folded changes nothing and gives the reason.
func (s *Store) Update(body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &Event{}
	if err := json.Unmarshal(body, e); err != nil {
		return errkind.Wrap(errkind.InvalidInput, err, "event")
	}
	n, err := s.view.Load().Next(e)
	if err != nil {
		return err
	}
	s.set(n, e)
	return nil
}

// Apply is Fold as the control state calls it: all its copies fold the same entries, so that what one can't fold none can.
func (s *Store) Apply(body []byte) { _ = s.Update(body) }

// Checkpoint gives the view's bytes.
func (s *Store) Snapshot() []byte { return s.view.Load().Encode() }

// Encode gives a view's bytes.
func (v *View) Encode() []byte {
	s := storedView{Orders: v.History, Listed: v.ReplicasKnown, Fleet: v.FleetSize, Nodes: v.Nodes, Houses: v.Controllers}
	if v.Config.Revision > 0 {
		s.Doc = v.Config.JSON()
	}
	for k := range v.Evacuated {
		s.Evac = append(s.Evac, k)
	}
	for _, r := range v.Replicas {
		s.Replicas = append(s.Replicas, r)
	}
	j, _ := json.Marshal(s)
	return j
}

// Restore puts a checkpoint in place of the view.
func (s *Store) Restore(body []byte) error {
	n, err := DecodeView(body)
	if err != nil {
		return err
	}
	switch {
	case !s.decides:
		n.History = nil
	case n.History == nil: // a checkpoint from before there was this memory: all older orders are forgotten
		n.History = &History{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view.Load()
	if s.guarded {
		if n.Config.Revision < old.Config.Revision {
			n.Config = old.Config
		}
		if !n.ReplicasKnown && old.ReplicasKnown {
			n.Replicas, n.ReplicasKnown = old.Replicas, true
		}
	}
	s.set(n, nil)
	return nil
}

// DecodeView reads a view's bytes.
func DecodeView(body []byte) (*View, error) {
	var s storedView
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, errkind.Wrap(errkind.InvalidInput, err, "checkpoint")
	}
	n := EmptyView()
	if s.Doc != nil {
		d, err := n.Config.Put(s.Doc)
		if err != nil {
			return nil, err
		}
		n.Config = d
	}
	for _, k := range s.Evac {
		n.Evacuated[k] = true
	}
	for _, r := range s.Replicas {
		n.Replicas[r.ID] = r
	}
	n.History, n.ReplicasKnown, n.FleetSize, n.Nodes, n.Controllers = s.Orders, s.Listed, s.Fleet, s.Nodes, s.Houses
	return n, nil
}
