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

// maxDepth is how deep objects and lists may stand in each other: as deep as encoding/json reads, so that whatever was taken
// before is still read. Configurations need about 6. The bound is checked before anything recurses.
const maxDepth = 10_000

// openValue is an object or a list that is being read.
type openValue struct {
	keys      map[string]bool // of an object, as far as it was read; nil: a list
	awaitsKey bool            // the next token of an object is a key or its end
}

// keyChecker reads the tokens of one JSON value. Its zero value has read none.
type keyChecker struct{ open []openValue }

// checkUniqueKeys reads one JSON value and fails if it is malformed, nested deeper than maxDepth, or if a key stands twice in
// an object at any depth. encoding/json would silently take the last one of two.
func checkUniqueKeys(decoder *json.Decoder) error {
	checker := &keyChecker{}
	for {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		if err := checker.take(token); err != nil {
			return err
		}
		if len(checker.open) == 0 {
			return nil
		}
	}
}

// take takes the next token.
func (c *keyChecker) take(token json.Token) error {
	switch token {
	case json.Delim('{'):
		return c.begin(openValue{keys: map[string]bool{}, awaitsKey: true})
	case json.Delim('['):
		return c.begin(openValue{})
	case json.Delim('}'), json.Delim(']'):
		c.open = c.open[:len(c.open)-1]
		c.endValue()
		return nil
	}
	if len(c.open) == 0 || !c.open[len(c.open)-1].awaitsKey {
		c.endValue()
		return nil
	}
	return c.takeKey(token)
}

// begin begins an object or a list.
func (c *keyChecker) begin(value openValue) error {
	if len(c.open) == maxDepth {
		return invalid("nested deeper than %d", maxDepth)
	}
	c.open = append(c.open, value)
	return nil
}

// takeKey takes a key of the innermost object: the decoder gives no other token here.
func (c *keyChecker) takeKey(token json.Token) error {
	object := &c.open[len(c.open)-1]
	key, _ := token.(string)
	if object.keys[key] {
		return invalid("%q stands twice", key)
	}
	object.keys[key] = true
	object.awaitsKey = false
	return nil
}

// endValue ends a value: in an object, a key follows.
func (c *keyChecker) endValue() {
	if n := len(c.open); n > 0 && c.open[n-1].keys != nil {
		c.open[n-1].awaitsKey = true
	}
}

// parseRevision reads the revision that a configuration or a change makes.
func parseRevision(object map[string]json.RawMessage) (int64, error) {
	revision, err := strconv.ParseFloat(string(bytes.TrimSpace(object[keyRevision])), 64)
	if err != nil || revision != math.Trunc(revision) || revision <= 0 || revision > maxRevision {
		return 0, invalid("%s is missing or no whole number", keyRevision)
	}
	return int64(revision), nil
}
