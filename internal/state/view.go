package state

import (
	"shaletrestle/internal/config"
)

// View is the state after some events. It is not changed after it was made, so that it may be read by many at once.
type View struct {
	Config        *config.Document    // never nil; Revision 0 before the first configuration
	History       *History            // nil in stores without one
	Evacuated     map[string]bool     // by zone; those that are not in it are in use
	Replicas      map[string]*Replica // by id
	ReplicasKnown bool                // the platform's list was read at least once
	FleetSize     int                 // routers that share the budgets; 0 until that is known
	Nodes         []string            // their addresses, sorted
	Controllers   []Controller
}

// EmptyView is the view before the first event, without a history.
func EmptyView() *View {
	return &View{Config: config.Empty(), Evacuated: map[string]bool{}, Replicas: map[string]*Replica{}}
}

// Next gives the view after an event. Configuration events fail with a [RevisionConflictError] if they were built on
// another revision, and with a [config.InvalidError] if what they make is invalid; the others don't fail.
func (v *View) Next(e Event) (*View, error) {
	next := *v
	if err := e.applyTo(&next); err != nil {
		return nil, err
	}
	if change, ok := e.(ConfigEvent); ok && v.History != nil {
		next.History = v.History.with(change.BaseRevision(), change.identity())
	}
	return &next, nil
}

func (v *View) expectRevision(base int64) error {
	if base != v.Config.Revision {
		return &RevisionConflictError{Base: base, Current: v.Config.Revision}
	}
	return nil
}

// Outcome is what this view knows of a change of the configuration that may have been committed before. The view must
// have a history.
func (v *View) Outcome(e ConfigEvent) Outcome {
	return v.History.outcome(e.BaseRevision(), e.identity(), v.Config.Revision)
}
