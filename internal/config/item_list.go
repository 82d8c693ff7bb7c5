package config

import (
	"encoding/json"
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"shaletrestle/internal/config/configpb"
)

// item is one named item of a list. It is not changed after it was made, so that documents share it: a change of a document
// costs no reading of the items that stay.
type item struct {
	raw    json.RawMessage // as it was sent
	parsed proto.Message   // of the list's type
}

// itemList is a list of items with different names. The zero value is empty.
type itemList struct {
	names []string // in their order
	items map[string]item
}

func (l *itemList) clone() itemList {
	return itemList{names: slices.Clone(l.names), items: maps.Clone(l.items)}
}

// put puts an item in the place of the one of its name, or behind the last one.
func (l *itemList) put(name string, added item) {
	if l.items == nil {
		l.items = map[string]item{}
	}
	if _, known := l.items[name]; !known {
		l.names = append(l.names, name)
	}
	l.items[name] = added
}

// remove takes out the items of some names; those that are not there are left out.
func (l *itemList) remove(names []string) {
	before := len(l.items)
	for _, name := range names {
		delete(l.items, name)
	}
	if len(l.items) == before {
		return
	}
	l.names = slices.DeleteFunc(l.names, func(name string) bool {
		_, remains := l.items[name]
		return !remains
	})
}

// newItemMessage makes an empty item of the list of a key.
func newItemMessage(key string) proto.Message {
	if key == keyPools {
		return &configpb.Service{}
	}
	return &configpb.Route{}
}

// parseItemList reads the list of named items of a key; nil gives an empty one.
func parseItemList(key string, value json.RawMessage) (itemList, error) {
	var list itemList
	if value == nil {
		return list, nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(value, &items); err != nil {
		return list, invalid("not a list")
	}
	for _, raw := range items {
		name, err := itemName(raw)
		if err != nil {
			return list, err
		}
		if _, twice := list.items[name]; twice {
			return list, invalid("%q stands twice", name)
		}
		parsed := newItemMessage(key)
		if err := unmarshalKnown(raw, parsed); err != nil {
			return list, err
		}
		list.put(name, item{raw: raw, parsed: parsed})
	}
	return list, nil
}

func itemName(raw json.RawMessage) (string, error) {
	var named struct {
		Name *string `json:"name"`
	}
	if err := json.Unmarshal(raw, &named); err != nil || named.Name == nil || *named.Name == "" {
		return "", invalid("an item has no name")
	}
	return *named.Name, nil
}

// unmarshalKnown reads the typed form of a JSON object; keys that this version doesn't know are left out.
func unmarshalKnown(raw json.RawMessage, message proto.Message) error {
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(raw, message); err != nil {
		return invalid("can't be read: %v", err)
	}
	return nil
}

// typed gives the typed items of a list in their order.
func typed[Message proto.Message](list itemList) []Message {
	messages := make([]Message, 0, len(list.names))
	for _, name := range list.names {
		messages = append(messages, list.items[name].parsed.(Message))
	}
	return messages
}
