package core

import (
	"encoding/binary"
	"reflect"
	"sync"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
)

// copyCore copies all of a core that Step changes in place. Views, entries and messages are never changed once made, so they are shared.
func copyCore(c *Core) *Core {
	out := *c
	out.effects = nil
	unshare(reflect.ValueOf(&out).Elem())
	return &out
}

var sharedTypes = map[reflect.Type]bool{
	reflect.TypeFor[Config](): true, reflect.TypeFor[View](): true, reflect.TypeFor[Register](): true, reflect.TypeFor[Entry](): true,
	reflect.TypeFor[Snapshot](): true, reflect.TypeFor[Order](): true, reflect.TypeFor[AppendReply](): true,
}

// unshare gives a value slices and pointers of its own, all the way down.
func unshare(v reflect.Value) {
	if !holdsShared(v.Type()) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || sharedTypes[v.Type().Elem()] {
			return
		}
		target := reflect.New(v.Type().Elem())
		target.Elem().Set(v.Elem())
		unshare(target.Elem())
		v.Set(target)
	case reflect.Slice:
		if v.IsNil() {
			return
		}
		target := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
		reflect.Copy(target, v)
		for i := range target.Len() {
			unshare(target.Index(i))
		}
		v.Set(target)
	case reflect.Struct:
		for _, i := range sharingFields(v.Type()) {
			unshare(open(v.Field(i)))
		}
	}
}

// open makes a field of an addressable struct usable though it is unexported.
func open(field reflect.Value) reflect.Value {
	return reflect.NewAt(field.Type(), unsafe.Pointer(field.UnsafeAddr())).Elem()
}

// sharing keeps what is known of types: whether they share, and in which fields.
var sharing sync.Map

type sharingOf struct {
	holds  bool
	fields []int
}

// holdsShared tells whether a plain copy of a value would share something that is changed in place.
func holdsShared(t reflect.Type) bool { return knownSharing(t).holds }

func sharingFields(t reflect.Type) []int { return knownSharing(t).fields }

func knownSharing(t reflect.Type) sharingOf {
	if known, found := sharing.Load(t); found {
		return known.(sharingOf)
	}
	known := sharingOf{holds: findShared(t)}
	if t.Kind() == reflect.Struct {
		for i := range t.NumField() {
			if holdsShared(t.Field(i).Type) {
				known.fields = append(known.fields, i)
			}
		}
	}
	sharing.Store(t, known)
	return known
}

func findShared(t reflect.Type) bool {
	if sharedTypes[t] {
		return false
	}
	switch t.Kind() {
	case reflect.Pointer:
		return !sharedTypes[t.Elem()]
	case reflect.Slice:
		return true
	case reflect.Struct:
		for i := range t.NumField() {
			if holdsShared(t.Field(i).Type) {
				return true
			}
		}
	}
	return false
}

// hasher digests values by their content. Times are taken relative to now, and far ones alike.
type hasher struct {
	buffer []byte
	now    time.Duration
	far    time.Duration
}

var durationType = reflect.TypeFor[time.Duration]()

func (h *hasher) number(n uint64) {
	h.buffer = binary.AppendUvarint(h.buffer, n)
}

func (h *hasher) text(s string) {
	h.number(uint64(len(s)))
	h.buffer = append(h.buffer, s...)
}

func (h *hasher) sum() uint64 { return xxhash.Sum64(h.buffer) }

func (h *hasher) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			h.number(1)
		} else {
			h.number(0)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		n := v.Int()
		if v.Type() == durationType {
			n = int64(max(-h.far, min(h.far, h.now-time.Duration(n))))
		}
		h.number(uint64(n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		h.number(v.Uint())
	case reflect.String:
		h.text(v.String())
	case reflect.Slice:
		h.number(uint64(v.Len()))
		if v.Type().Elem().Kind() == reflect.Uint8 {
			h.buffer = append(h.buffer, v.Bytes()...)
			return
		}
		for i := range v.Len() {
			h.value(v.Index(i))
		}
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			h.number(0)
			return
		}
		h.number(1)
		if v.Kind() == reflect.Interface {
			h.text(v.Elem().Type().Name())
		}
		h.value(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			h.value(v.Field(i))
		}
	}
}
