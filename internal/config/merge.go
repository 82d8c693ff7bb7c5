package config

import (
	"encoding/json"
	"maps"
	"slices"
)

// Put makes the configuration that replaces d: body holds all of it. An [InvalidError] says what is wrong with it, a
// revision that is not above that of d included.
func (d *Document) Put(body []byte) (*Document, error) {
	next, err := parseDocument(body)
	if err != nil {
		return nil, err
	}
	return next, next.check(d)
}

// Stored makes the configuration of a stored one, as JSON gave it. It was checked when it was accepted, maybe by a version with
// other checks, and is taken as it is. An [InvalidError] says that it can't be read.
func Stored(body []byte) (*Document, error) {
	document, err := parseDocument(body)
	if err != nil {
		return nil, err
	}
	return document, document.setTyped()
}

// parseDocument reads a complete configuration, without its typed form.
func parseDocument(body []byte) (*Document, error) {
	object, err := parseObject(body)
	if err != nil {
		return nil, err
	}
	revision, err := parseRevision(object)
	if err != nil {
		return nil, err
	}
	next := Empty()
	next.Revision = revision
	for key, value := range object {
		switch key {
		case keyRevision:
		case keyRoutes, keyPools:
			if next.lists[key], err = parseItemList(key, value); err != nil {
				return nil, err
			}
		default:
			next.values[key] = value
		}
	}
	return next, nil
}

// Patch makes the configuration that d becomes by a change: body names items to remove and items or keys to upsert.
// Items are known by their name; removing one that isn't there changes nothing. An [InvalidError] says what is wrong
// with the change or with the configuration that it makes, a revision that is not above that of d included.
func (d *Document) Patch(body []byte) (*Document, error) {
	change, err := parsePatch(body)
	if err != nil {
		return nil, err
	}
	next := d.clone()
	next.apply(change)
	return next, next.check(d)
}

// clone copies a document, without its typed form; the items are shared.
func (d *Document) clone() *Document {
	next := &Document{Revision: d.Revision, values: maps.Clone(d.values), lists: make(map[string]itemList, len(d.lists))}
	for key, list := range d.lists {
		next.lists[key] = list.clone()
	}
	return next
}

// patch is a change of a document, as it was read.
type patch struct {
	revision int64
	removed  map[string][]string        // names, by list
	values   map[string]json.RawMessage // by key, of all but the lists
	lists    map[string]itemList        // by key
}

// parsePatch reads a change.
func parsePatch(body []byte) (*patch, error) {
	object, err := parseObject(body)
	if err != nil {
		return nil, err
	}
	p := &patch{values: map[string]json.RawMessage{}, lists: map[string]itemList{}}
	if p.revision, err = parseRevision(object); err != nil {
		return nil, err
	}
	if err := p.parseRemoved(object[keyRemove]); err != nil {
		return nil, err
	}
	if err := p.parseUpserted(object[keyUpsert]); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *patch) parseRemoved(value json.RawMessage) error {
	if value == nil {
		return nil
	}
	if err := json.Unmarshal(value, &p.removed); err != nil {
		return invalid("%s: not lists of names", keyRemove)
	}
	for key := range p.removed {
		if !slices.Contains(itemLists, key) {
			return invalid("%s: no list %q", keyRemove, key)
		}
	}
	return nil
}

func (p *patch) parseUpserted(value json.RawMessage) error {
	if value == nil {
		return nil
	}
	var upserted map[string]json.RawMessage
	if err := json.Unmarshal(value, &upserted); err != nil {
		return invalid("%s: not an object", keyUpsert)
	}
	for key, value := range upserted {
		if !slices.Contains(itemLists, key) {
			p.values[key] = value
			continue
		}
		list, err := parseItemList(key, value)
		if err != nil {
			return err
		}
		p.lists[key] = list
	}
	return nil
}

// apply changes a document that nobody else has: first what is removed, then what is put in place of items and keys of the
// same name, or behind the last ones.
func (d *Document) apply(change *patch) {
	d.Revision = change.revision
	for key, names := range change.removed {
		list := d.lists[key]
		list.remove(names)
		d.lists[key] = list
	}
	maps.Copy(d.values, change.values)
	for key, added := range change.lists {
		list := d.lists[key]
		for _, name := range added.names {
			list.put(name, added.items[name])
		}
		d.lists[key] = list
	}
}
