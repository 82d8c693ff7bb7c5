package core

import (
	"encoding/binary"
	"reflect"
	"sync"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
)

// The search copies and digests a core millions of times. For each type it makes the functions that do it once, and keeps them.

// copyCore copies all of a core that Step changes in place. Views, entries and messages are never changed once made, so they are shared.
func copyCore(c *Core) *Core {
	out := *c
	out.effects = nil
	unsharer(reflect.TypeFor[Core]())(unsafe.Pointer(&out))
	return &out
}

var sharedTypes = map[reflect.Type]bool{
	reflect.TypeFor[Config](): true, reflect.TypeFor[View](): true, reflect.TypeFor[Register](): true, reflect.TypeFor[Entry](): true,
	reflect.TypeFor[Snapshot](): true, reflect.TypeFor[Command](): true, reflect.TypeFor[AppendReply](): true,
}

// unshareFunc gives the value at a place slices and pointers of its own, all the way down; nil where there are none.
type unshareFunc func(at unsafe.Pointer)

var unsharers sync.Map

func unsharer(t reflect.Type) unshareFunc {
	if known, found := unsharers.Load(t); found {
		return known.(unshareFunc)
	}
	made := makeUnsharer(t)
	unsharers.Store(t, made)
	return made
}

func makeUnsharer(t reflect.Type) unshareFunc {
	if sharedTypes[t] {
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer:
		return unsharePointer(t)
	case reflect.Slice:
		return unshareSlice(t)
	case reflect.Struct:
		return unshareStruct(t)
	}
	return nil
}

func unsharePointer(t reflect.Type) unshareFunc {
	if sharedTypes[t.Elem()] {
		return nil
	}
	inner := unsharer(t.Elem())
	return func(at unsafe.Pointer) {
		v := reflect.NewAt(t, at).Elem()
		if v.IsNil() {
			return
		}
		target := reflect.New(t.Elem())
		target.Elem().Set(v.Elem())
		if inner != nil {
			inner(target.UnsafePointer())
		}
		v.Set(target)
	}
}

func unshareSlice(t reflect.Type) unshareFunc {
	inner := unsharer(t.Elem())
	return func(at unsafe.Pointer) {
		v := reflect.NewAt(t, at).Elem()
		if v.IsNil() {
			return
		}
		if v.Len() == 0 {
			v.Set(reflect.MakeSlice(t, 0, 0))
			return
		}
		target := reflect.MakeSlice(t, v.Len(), v.Len())
		reflect.Copy(target, v)
		if inner != nil {
			for i := range target.Len() {
				inner(target.Index(i).Addr().UnsafePointer())
			}
		}
		v.Set(target)
	}
}

func unshareStruct(t reflect.Type) unshareFunc {
	var fields []func(unsafe.Pointer)
	for i := range t.NumField() {
		field := t.Field(i)
		if inner := unsharer(field.Type); inner != nil {
			fields = append(fields, func(at unsafe.Pointer) { inner(unsafe.Add(at, field.Offset)) })
		}
	}
	if fields == nil {
		return nil
	}
	return func(at unsafe.Pointer) {
		for _, field := range fields {
			field(at)
		}
	}
}

// hasher digests values by their content. Times are taken relative to now, and far ones alike.
type hasher struct {
	buffer []byte
	now    time.Duration
	far    time.Duration
}

func (h *hasher) number(n uint64) {
	h.buffer = binary.AppendUvarint(h.buffer, n)
}

func (h *hasher) text(s string) {
	h.number(uint64(len(s)))
	h.buffer = append(h.buffer, s...)
}

func (h *hasher) sum() uint64 { return xxhash.Sum64(h.buffer) }

// digest adds the value that a pointer leads to.
func digest[T any](h *hasher, value *T) {
	digester(reflect.TypeFor[T]())(h, unsafe.Pointer(value))
}

// digestFunc adds the value at a place.
type digestFunc func(h *hasher, at unsafe.Pointer)

var digesters sync.Map

func digester(t reflect.Type) digestFunc {
	if known, found := digesters.Load(t); found {
		return known.(digestFunc)
	}
	made := makeDigester(t)
	digesters.Store(t, made)
	return made
}

var durationType = reflect.TypeFor[time.Duration]()

func makeDigester(t reflect.Type) digestFunc {
	if t == durationType {
		return digestDuration
	}
	switch t.Kind() {
	case reflect.Bool, reflect.Uint8, reflect.Int8:
		return func(h *hasher, at unsafe.Pointer) { h.buffer = append(h.buffer, *(*uint8)(at)) }
	case reflect.Int, reflect.Int64, reflect.Uint, reflect.Uint64:
		return func(h *hasher, at unsafe.Pointer) { h.number(*(*uint64)(at)) }
	case reflect.String:
		return func(h *hasher, at unsafe.Pointer) { h.text(*(*string)(at)) }
	case reflect.Slice:
		return digestSlice(t)
	case reflect.Pointer:
		return digestPointer(t)
	case reflect.Interface:
		return digestInterface(t)
	case reflect.Struct:
		return digestStruct(t)
	case reflect.Func:
		return func(*hasher, unsafe.Pointer) {}
	}
	panic("no digest of " + t.String())
}

func digestDuration(h *hasher, at unsafe.Pointer) {
	past := h.now - *(*time.Duration)(at)
	h.number(uint64(max(-h.far, min(h.far, past))))
}

func digestSlice(t reflect.Type) digestFunc {
	inner := digester(t.Elem())
	size := t.Elem().Size()
	return func(h *hasher, at unsafe.Pointer) {
		header := *(*[]byte)(at) // the length counts elements, whatever their size
		h.number(uint64(len(header)))
		first := unsafe.Pointer(unsafe.SliceData(header))
		for i := range header {
			inner(h, unsafe.Add(first, uintptr(i)*size))
		}
	}
}

func digestPointer(t reflect.Type) digestFunc {
	inner := digester(t.Elem())
	return func(h *hasher, at unsafe.Pointer) {
		target := *(*unsafe.Pointer)(at)
		if target == nil {
			h.number(0)
			return
		}
		h.number(1)
		inner(h, target)
	}
}

func digestInterface(t reflect.Type) digestFunc {
	return func(h *hasher, at unsafe.Pointer) {
		v := reflect.NewAt(t, at).Elem()
		if v.IsNil() {
			h.number(0)
			return
		}
		held := v.Elem()
		h.text(held.Type().String())
		target := reflect.New(held.Type())
		target.Elem().Set(held)
		digester(held.Type())(h, target.UnsafePointer())
	}
}

func digestStruct(t reflect.Type) digestFunc {
	var fields []digestFunc
	for i := range t.NumField() {
		field := t.Field(i)
		if t == reflect.TypeFor[Core]() && notDigested[field.Name] {
			continue
		}
		inner := digester(field.Type)
		fields = append(fields, func(h *hasher, at unsafe.Pointer) { inner(h, unsafe.Add(at, field.Offset)) })
	}
	return func(h *hasher, at unsafe.Pointer) {
		for _, field := range fields {
			field(h, at)
		}
	}
}

// notDigested are the fields of a core that are the same in every state, or follow from others.
var notDigested = map[string]bool{
	"config": true, "self": true, "timing": true, "limits": true, "effects": true, "now": true,
}
