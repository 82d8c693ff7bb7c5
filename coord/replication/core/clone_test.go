package core

import (
	"encoding/binary"
	"reflect"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
)

// deepCopy copies a value with its unexported fields. Interfaces and functions are shared: the messages behind them are never changed, and the caller replaces the machine and the orders' functions.
func deepCopy(v reflect.Value) reflect.Value {
	out := reflect.New(v.Type()).Elem()
	copyInto(out, v)
	return out
}

func copyInto(to, from reflect.Value) {
	switch from.Kind() {
	case reflect.Pointer:
		if from.IsNil() {
			return
		}
		target := reflect.New(from.Type().Elem())
		copyInto(target.Elem(), from.Elem())
		to.Set(target)
	case reflect.Slice:
		if from.IsNil() {
			return
		}
		if isPlain(from.Type().Elem()) {
			to.Set(reflect.AppendSlice(reflect.MakeSlice(from.Type(), 0, from.Len()), from))
			return
		}
		target := reflect.MakeSlice(from.Type(), from.Len(), from.Len())
		for i := range from.Len() {
			copyInto(target.Index(i), from.Index(i))
		}
		to.Set(target)
	case reflect.Struct:
		for i := range from.NumField() {
			copyInto(open(to.Field(i)), open(from.Field(i)))
		}
	default:
		to.Set(from)
	}
}

// open makes a field of an addressable struct usable though it is unexported.
func open(field reflect.Value) reflect.Value {
	return reflect.NewAt(field.Type(), unsafe.Pointer(field.UnsafeAddr())).Elem()
}

func isPlain(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Struct, reflect.Interface, reflect.Map:
		return false
	}
	return true
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
