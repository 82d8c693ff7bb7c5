package config

// Replay applies many changes that were checked when they were accepted, each at a cost that does not grow with the
// configuration. It is used by one goroutine.
type Replay struct {
	document *Document // of the replay alone, without its typed form; nil: no change was applied
	base     *Document
}

// Replay begins a replay of changes that follow d.
func (d *Document) Replay() *Replay { return &Replay{base: d} }

// Revision is that of the newest change.
func (r *Replay) Revision() int64 {
	if r.document == nil {
		return r.base.Revision
	}
	return r.document.Revision
}

// Put is Document.Put, without the checks of the whole. After an error nothing is changed.
func (r *Replay) Put(body []byte) error {
	next, err := parseDocument(body)
	if err != nil {
		return err
	}
	if next.Revision <= r.Revision() {
		return notAbove(next.Revision, r.Revision())
	}
	if err := next.encodable(); err != nil {
		return err
	}
	r.document = next
	return nil
}

// Patch is Document.Patch, without the checks of the whole. After an error nothing is changed.
func (r *Replay) Patch(body []byte) error {
	change, err := parsePatch(body)
	if err != nil {
		return err
	}
	if change.revision <= r.Revision() {
		return notAbove(change.revision, r.Revision())
	}
	if err := (&Document{Revision: change.revision, values: change.values}).encodable(); err != nil {
		return err
	}
	if r.document == nil {
		r.document = r.base.clone()
	}
	r.document.apply(change)
	return nil
}

// encodable fails if the keys beside the item lists have no typed form.
func (d *Document) encodable() error {
	return (&Document{Revision: d.Revision, values: d.values}).setTyped()
}

// Document is the configuration after the changes so far. The replay must not be used after it.
func (r *Replay) Document() (*Document, error) {
	if r.document == nil {
		return r.base, nil
	}
	return r.document, r.document.setTyped()
}
