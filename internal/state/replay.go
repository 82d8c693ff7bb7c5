package state

import "shaletrestle/internal/config"

// replay applies the entries of a log to a view.
type replay struct {
	base   *View
	view   View           // all but the configuration
	config *config.Replay // what the changes of the configuration come to
}

func newReplay(base *View) *replay {
	return &replay{base: base, view: *base, config: base.Config.Replay()}
}

// apply applies an entry; one that can't be read or applied changes nothing.
func (r *replay) apply(entry []byte) {
	event, err := DecodeEvent(entry)
	if err != nil {
		return
	}
	change, ok := event.(ConfigEvent)
	if !ok {
		_ = event.applyTo(&r.view) // it does not touch the configuration
		return
	}
	if change.BaseRevision() != r.config.Revision() || change.replay(r.config) != nil {
		return
	}
	if r.view.History != nil {
		r.view.History = r.view.History.with(change.BaseRevision(), change.identity())
	}
}

// result is the view after the entries; the one before them if their configuration has no typed form, which none has that was
// accepted.
func (r *replay) result() *View {
	document, err := r.config.Document()
	if err != nil {
		return r.base
	}
	r.view.Config = document
	return &r.view
}
