package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"strconv"
)

// maxRevision is the largest revision: beyond it, JSON numbers of other languages are no longer exact.
const maxRevision = 1 << 53

// parseObject reads one complete JSON object in which no key stands twice, at any depth.
func parseObject(body []byte) (map[string]json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if err := checkUniqueKeys(decoder); err != nil {
		return nil, invalid("can't be read whole: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, invalid("more follows the object")
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(body, &object); err != nil || object == nil {
		return nil, invalid("not an object")
	}
	return object, nil
}

// checkUniqueKeys reads one JSON value and fails if it is malformed, or if a key stands twice in an object at any depth.
// encoding/json would silently take the last one of two.
func checkUniqueKeys(decoder *json.Decoder) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		seen := map[string]bool{}
		for decoder.More() {
			token, err := decoder.Token()
			if err != nil {
				return err
			}
			key, _ := token.(string) // the decoder gives no other token here
			if seen[key] {
				return invalid("%q stands twice", key)
			}
			seen[key] = true
			if err := checkUniqueKeys(decoder); err != nil {
				return err
			}
		}
		_, err = decoder.Token()
	case json.Delim('['):
		for decoder.More() {
			if err := checkUniqueKeys(decoder); err != nil {
				return err
			}
		}
		_, err = decoder.Token()
	}
	return err
}

// parseRevision reads the revision that a configuration or a change makes.
func parseRevision(object map[string]json.RawMessage) (int64, error) {
	revision, err := strconv.ParseFloat(string(bytes.TrimSpace(object[keyRevision])), 64)
	if err != nil || revision != math.Trunc(revision) || revision <= 0 || revision > maxRevision {
		return 0, invalid("%s is missing or no whole number", keyRevision)
	}
	return int64(revision), nil
}

// parseItemList reads a list of named items; nil gives an empty one.
func parseItemList(value json.RawMessage) (itemList, error) {
	list := newItemList()
	if value == nil {
		return list, nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(value, &items); err != nil {
		return list, invalid("not a list")
	}
	for _, item := range items {
		name, err := itemName(item)
		if err != nil {
			return list, err
		}
		if _, twice := list.items[name]; twice {
			return list, invalid("%q stands twice", name)
		}
		list.names = append(list.names, name)
		list.items[name] = item
	}
	return list, nil
}

func itemName(item json.RawMessage) (string, error) {
	var named struct {
		Name *string `json:"name"`
	}
	if err := json.Unmarshal(item, &named); err != nil || named.Name == nil || *named.Name == "" {
		return "", invalid("an item has no name")
	}
	return *named.Name, nil
}
