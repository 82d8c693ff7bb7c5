package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"shaletrestle/internal/config/configpb"
)

// Keys of the configuration and of changes to it, as they are sent.
const (
	keyRevision = "revision"
	keyRoutes   = "route_table"
	keyPools    = "backend_pools"
	keyUpsert   = "upsert"
	keyRemove   = "remove"
)

// itemLists are the keys whose values are lists of named items, in the order in which JSON gives them.
var itemLists = []string{keyRoutes, keyPools}

// Document is one complete configuration. It is not changed after it was made.
type Document struct {
	Revision int64 // set by the operator, rising; 0 for none yet
	// Parsed is the typed form. Keys that this version doesn't know are left out of it.
	Parsed *configpb.Configuration

	values map[string]json.RawMessage // by key, of all but the revision and the item lists
	lists  map[string]itemList        // by key, of all itemLists
}

// Empty is the configuration before the first.
func Empty() *Document {
	return &Document{
		Parsed: &configpb.Configuration{},
		values: map[string]json.RawMessage{},
		lists:  map[string]itemList{keyRoutes: {}, keyPools: {}},
	}
}

// JSON gives the complete configuration, each item as it was sent. Two calls give the same bytes.
func (d *Document) JSON() []byte { return d.encode(d.lists) }

// encode gives the configuration with some lists in place of its own.
func (d *Document) encode(lists map[string]itemList) []byte {
	var out bytes.Buffer
	out.WriteString(`{"` + keyRevision + `":` + strconv.FormatInt(d.Revision, 10))
	for _, key := range itemLists {
		out.WriteString(`,"` + key + `":[`)
		list := lists[key]
		for i, name := range list.names {
			if i > 0 {
				out.WriteByte(',')
			}
			out.Write(list.items[name].raw)
		}
		out.WriteByte(']')
	}
	for _, key := range slices.Sorted(maps.Keys(d.values)) {
		quoted, _ := json.Marshal(key) // a string always has a JSON form
		out.WriteByte(',')
		out.Write(quoted)
		out.WriteByte(':')
		out.Write(d.values[key])
	}
	out.WriteByte('}')
	return out.Bytes()
}
