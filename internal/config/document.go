// Package config is the operator's configuration: kept item by item as it was sent, merged, checked as a whole and compiled types beside it.
package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"sort"
	"strconv"

	"google.golang.org/protobuf/encoding/protojson"

	"shaletrestle/internal/config/configpb"
)

// Names of the wire's fields that the merge needs.
const (
	fieldEpoch  = "revision"
	fieldPaths  = "route_table"
	fieldPools  = "backend_pools"
	fieldUpsert = "upsert"
	fieldRemove = "remove"
	fieldName   = "name"
)

type list struct {
	order []string
	items map[string]json.RawMessage
}

// Doc is one whole configuration. It is never changed after it was made.
type Document struct {
	Revision int64
	top      map[string]json.RawMessage
	lists    map[string]list
	Parsed   *configpb.Configuration
}

// Empty is the configuration before the first.
func Empty() *Document {
	return &Document{top: map[string]json.RawMessage{}, lists: map[string]list{fieldPaths: {items: map[string]json.RawMessage{}}, fieldPools: {items: map[string]json.RawMessage{}}}, Parsed: &configpb.Configuration{}}
}

// InvalidError says why a configuration or a change of it is invalid, and names the value that makes it so.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return e.Reason }

func bad(format string, a ...any) error { return &InvalidError{Reason: fmt.Sprintf(format, a...)} }

// object reads one whole JSON object in which no name stands twice.
func object(b []byte) (map[string]json.RawMessage, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	if err := unique(d); err != nil {
		return nil, bad("can't be read whole: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, bad("more follows the object")
	}
	var m map[string]json.RawMessage
	if err := json.Unmarshal(b, &m); err != nil || m == nil {
		return nil, bad("not an object")
	}
	return m, nil
}

func unique(d *json.Decoder) error {
	t, err := d.Token()
	if err != nil {
		return err
	}
	switch t {
	case json.Delim('{'):
		seen := map[string]bool{}
		for d.More() {
			k, err := d.Token()
			if err != nil {
				return err
			}
			if s := k.(string); seen[s] {
				return bad("%q stands twice", s)
			} else {
				seen[s] = true
			}
			if err := unique(d); err != nil {
				return err
			}
		}
		_, err = d.Token()
	case json.Delim('['):
		for d.More() {
			if err := unique(d); err != nil {
				return err
			}
		}
		_, err = d.Token()
	}
	return err
}

func nameOf(b json.RawMessage) (string, error) {
	var x struct {
		Name *string `json:"name"`
	}
	if err := json.Unmarshal(b, &x); err != nil || x.Name == nil || *x.Name == "" {
		return "", bad("an item has no name")
	}
	return *x.Name, nil
}

func toList(b json.RawMessage) (list, error) {
	l := list{items: map[string]json.RawMessage{}}
	if b == nil {
		return l, nil
	}
	var xs []json.RawMessage
	if err := json.Unmarshal(b, &xs); err != nil {
		return l, bad("not a list")
	}
	for _, x := range xs {
		n, err := nameOf(x)
		if err != nil {
			return l, err
		}
		if _, twice := l.items[n]; twice {
			return l, bad("%q stands twice", n)
		}
		l.order = append(l.order, n)
		l.items[n] = x
	}
	return l, nil
}

func epochOf(m map[string]json.RawMessage) (int64, error) {
	v, err := strconv.ParseFloat(string(bytes.TrimSpace(m[fieldEpoch])), 64)
	if err != nil || v != math.Trunc(v) || v <= 0 || v > 1<<53 {
		return 0, bad("%s is missing or no whole number", fieldEpoch)
	}
	return int64(v), nil
}

// begin reads what an order holds and starts the configuration that it makes.
func begin(b []byte) (n *Document, m map[string]json.RawMessage, err error) {
	if m, err = object(b); err != nil {
		return nil, nil, err
	}
	n = &Document{top: map[string]json.RawMessage{}, lists: map[string]list{}}
	n.Revision, err = epochOf(m)
	return n, m, err
}

// Put makes the configuration that a whole one sent on top of d gives.
func (d *Document) Put(b []byte) (*Document, error) {
	n, m, err := begin(b)
	if err != nil {
		return nil, err
	}
	for k, v := range m {
		switch k {
		case fieldEpoch:
		case fieldPaths, fieldPools:
			if n.lists[k], err = toList(v); err != nil {
				return nil, err
			}
		default:
			n.top[k] = v
		}
	}
	for _, k := range []string{fieldPaths, fieldPools} {
		if _, ok := n.lists[k]; !ok {
			n.lists[k] = list{items: map[string]json.RawMessage{}}
		}
	}
	return n, n.check(d)
}

// Patch makes the configuration that named changes on top of d give.
func (d *Document) Patch(b []byte) (*Document, error) {
	n, m, err := begin(b)
	if err != nil {
		return nil, err
	}
	for k, v := range d.top {
		n.top[k] = v
	}
	for k, l := range d.lists {
		c := list{order: append([]string{}, l.order...), items: make(map[string]json.RawMessage, len(l.items))}
		for i, v := range l.items {
			c.items[i] = v
		}
		n.lists[k] = c
	}
	if err := n.remove(m[fieldRemove]); err != nil {
		return nil, err
	}
	if err := n.upsert(m[fieldUpsert]); err != nil {
		return nil, err
	}
	return n, n.check(d)
}

func (d *Document) remove(b json.RawMessage) error {
	if b == nil {
		return nil
	}
	var m map[string][]string
	if err := json.Unmarshal(b, &m); err != nil {
		return bad("%s: not lists of names", fieldRemove)
	}
	for k, names := range m {
		l, ok := d.lists[k]
		if !ok {
			return bad("%s: no list %q", fieldRemove, k)
		}
		for _, n := range names {
			delete(l.items, n)
		}
		var keep []string
		for _, n := range l.order {
			if _, ok := l.items[n]; ok {
				keep = append(keep, n)
			}
		}
		l.order = keep
		d.lists[k] = l
	}
	return nil
}

func (d *Document) upsert(b json.RawMessage) error {
	if b == nil {
		return nil
	}
	var m map[string]json.RawMessage
	if err := json.Unmarshal(b, &m); err != nil {
		return bad("%s: not an object", fieldUpsert)
	}
	for k, v := range m {
		if k != fieldPaths && k != fieldPools {
			d.top[k] = v
			continue
		}
		add, err := toList(v)
		if err != nil {
			return err
		}
		l := d.lists[k]
		for _, n := range add.order {
			if _, ok := l.items[n]; !ok {
				l.order = append(l.order, n)
			}
			l.items[n] = add.items[n]
		}
		d.lists[k] = l
	}
	return nil
}

// JSON gives the whole configuration as it was sent, item by item.
func (d *Document) JSON() []byte {
	var o bytes.Buffer
	o.WriteString(`{"` + fieldEpoch + `":` + strconv.FormatInt(d.Revision, 10))
	for _, k := range []string{fieldPaths, fieldPools} {
		o.WriteString(`,"` + k + `":[`)
		for i, n := range d.lists[k].order {
			if i > 0 {
				o.WriteByte(',')
			}
			o.Write(d.lists[k].items[n])
		}
		o.WriteByte(']')
	}
	var ks []string
	for k := range d.top {
		ks = append(ks, k)
	}
	sort.Strings(ks)
	for _, k := range ks {
		q, _ := json.Marshal(k)
		o.WriteByte(',')
		o.Write(q)
		o.WriteByte(':')
		o.Write(d.top[k])
	}
	o.WriteByte('}')
	return o.Bytes()
}

// check holds the merged whole against the rules of validity; before is what it builds on.
func (d *Document) check(before *Document) error {
	if before != nil && d.Revision <= before.Revision {
		return bad("%s %d is not above %d", fieldEpoch, d.Revision, before.Revision)
	}
	p := &configpb.Configuration{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(d.JSON(), p); err != nil {
		return bad("can't be read: %v", err)
	}
	d.Parsed = p
	pools := map[string]bool{}
	for _, s := range p.BackendPools {
		pools[s.Name] = true
	}
	at := map[string]string{}
	for _, r := range p.RouteTable {
		if r.TimeoutMs <= 0 {
			return bad("route %q: timeout_ms is 0", r.Name)
		}
		k := r.Hostname + "\x00" + r.PathPrefix
		if o, twice := at[k]; twice {
			return bad("routes %q and %q have the same place", o, r.Name)
		}
		at[k] = r.Name
		if len(r.WeightedBackends) == 0 {
			if !pools[r.BackendPool] {
				return bad("route %q: unknown service %q", r.Name, r.BackendPool)
			}
			continue
		}
		sum := 0.0
		for _, w := range r.WeightedBackends {
			if !pools[w.BackendPool] {
				return bad("route %q: unknown service %q", r.Name, w.BackendPool)
			}
			if w.Weight < 0 || math.IsNaN(w.Weight) || math.IsInf(w.Weight, 0) {
				return bad("route %q: weight below 0", r.Name)
			}
			sum += w.Weight
		}
		if sum <= 0 {
			return bad("route %q: weights sum to 0", r.Name)
		}
	}
	return nil
}

// Digest tells whether two orders mean the same: it goes by the JSON's meaning, not by its spacing or the order
// of its names. What is no single whole object has the digest of its bytes.
func Digest(kind string, base int64, body []byte) []byte {
	h := sha256.New()
	h.Write([]byte(kind + "\x00" + strconv.FormatInt(base, 10) + "\x00"))
	h.Write(canonical(body))
	return h.Sum(nil)[:digestBytes]
}

const digestBytes = 16

func canonical(body []byte) []byte {
	if _, err := object(body); err != nil {
		return body
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	var v any
	if d.Decode(&v) != nil {
		return body
	}
	b, err := json.Marshal(v)
	if err != nil {
		return body
	}
	return b
}
