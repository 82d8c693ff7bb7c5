package config

import (
	"encoding/json"
	"maps"
	"slices"
)

// Put makes the configuration that replaces d: body holds all of it. An [InvalidError] says what is wrong with it, a
// revision that is not above that of d included.
func (d *Document) Put(body []byte) (*Document, error) {
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
			if next.lists[key], err = parseItemList(value); err != nil {
				return nil, err
			}
		default:
			next.values[key] = value
		}
	}
	return next, next.check(d)
}

// Patch makes the configuration that d becomes by a change: body names items to remove and items or keys to upsert.
// Items are known by their name; removing one that isn't there changes nothing. An [InvalidError] says what is wrong
// with the change or with the configuration that it makes, a revision that is not above that of d included.
func (d *Document) Patch(body []byte) (*Document, error) {
	object, err := parseObject(body)
	if err != nil {
		return nil, err
	}
	revision, err := parseRevision(object)
	if err != nil {
		return nil, err
	}
	next := &Document{Revision: revision, values: maps.Clone(d.values), lists: make(map[string]itemList, len(d.lists))}
	for key, list := range d.lists {
		next.lists[key] = list.clone()
	}
	if err := next.remove(object[keyRemove]); err != nil {
		return nil, err
	}
	if err := next.upsert(object[keyUpsert]); err != nil {
		return nil, err
	}
	return next, next.check(d)
}

// remove takes out the items that a change names, by list.
func (d *Document) remove(value json.RawMessage) error {
	if value == nil {
		return nil
	}
	var removed map[string][]string
	if err := json.Unmarshal(value, &removed); err != nil {
		return invalid("%s: not lists of names", keyRemove)
	}
	for key, names := range removed {
		list, known := d.lists[key]
		if !known {
			return invalid("%s: no list %q", keyRemove, key)
		}
		for _, name := range names {
			delete(list.items, name)
		}
		list.names = slices.DeleteFunc(list.names, func(name string) bool {
			_, remains := list.items[name]
			return !remains
		})
		d.lists[key] = list
	}
	return nil
}

// upsert puts the items and keys of a change in place of those of the same name, or behind the last ones.
func (d *Document) upsert(value json.RawMessage) error {
	if value == nil {
		return nil
	}
	var upserted map[string]json.RawMessage
	if err := json.Unmarshal(value, &upserted); err != nil {
		return invalid("%s: not an object", keyUpsert)
	}
	for key, value := range upserted {
		if !slices.Contains(itemLists, key) {
			d.values[key] = value
			continue
		}
		added, err := parseItemList(value)
		if err != nil {
			return err
		}
		list := d.lists[key]
		for _, name := range added.names {
			if _, known := list.items[name]; !known {
				list.names = append(list.names, name)
			}
			list.items[name] = added.items[name]
		}
		d.lists[key] = list
	}
	return nil
}
