// Package discovery reads the platform's list of replicas.
package discovery

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/state"
	"shaletrestle/internal/task"
)

const pagesMost = 1000 // pages of one listing; more is an endless loop

// Reader calls the platform.
type Reader struct {
	base string
	c    *http.Client
}

// NewReader makes a reader; dial may be nil for the real network.
func NewReader(addr string, dial func(addr string, d clock.Span) (net.Conn, error)) *Reader {
	t := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	if dial != nil {
		t.DialContext = func(_ context.Context, _, address string) (net.Conn, error) {
			return dial(address, constants.DialWait)
		}
	}
	return &Reader{base: "http://" + addr + "/replicas", c: &http.Client{Transport: t, Timeout: constants.ListWait}}
}

type page struct {
	Replicas *[]*state.Replica `json:"replicas"`
	Next     *string           `json:"next_token"`
}

// Read gives the whole list; an error if any page fails.
func (r *Reader) Read(sc *task.Scope) ([]*state.Replica, error) {
	var out []*state.Replica
	token := ""
	for range pagesMost {
		u := r.base
		if token != "" {
			u += "?page_token=" + url.QueryEscape(token)
		}
		q, err := http.NewRequestWithContext(sc.Context(), http.MethodGet, u, nil)
		if err != nil {
			return nil, errkind.Wrap(errkind.Internal, err, "platform")
		}
		a, err := r.c.Do(q)
		if err != nil {
			return nil, errkind.Wrap(errkind.Unready, err, "platform")
		}
		b, err := io.ReadAll(io.LimitReader(a.Body, constants.AnswerMax))
		_ = a.Body.Close()
		if err != nil {
			return nil, errkind.Wrap(errkind.Unready, err, "platform")
		}
		if a.StatusCode != http.StatusOK {
			return nil, errkind.New(errkind.Unready, "platform answered %d", a.StatusCode)
		}
		var p page
		if err := json.Unmarshal(b, &p); err != nil || p.Replicas == nil {
			return nil, errkind.New(errkind.BadInput, "platform: page can't be read")
		}
		for _, x := range *p.Replicas {
			if x == nil || x.ID == "" || x.Addr == "" || x.Pool == "" {
				return nil, errkind.New(errkind.BadInput, "platform: entry without id, address or service")
			}
			out = append(out, x)
		}
		if p.Next == nil || *p.Next == "" {
			return out, nil
		}
		token = *p.Next
	}
	return nil, errkind.New(errkind.BadInput, "platform: the list has no end")
}

// Differ turns whole listings into changes.
type Differ struct {
	missed map[string]int
}

// NewDiffer makes a differ.
func NewDiffer() *Differ { return &Differ{missed: map[string]int{}} }

// Diff gives the event that brings known to now, nil if nothing changed. A replica counts as gone at its second whole listing without it; an empty listing changes nothing.
func (d *Differ) Diff(known map[string]*state.Replica, listed bool, now []*state.Replica) *state.Event {
	if len(now) == 0 && len(known) > 0 {
		return nil
	}
	e := &state.Event{Kind: state.List}
	seen := make(map[string]bool, len(now))
	for _, r := range now {
		seen[r.ID] = true
		if !r.Same(known[r.ID]) {
			e.Replicas = append(e.Replicas, r)
		}
	}
	for id := range known {
		if seen[id] {
			delete(d.missed, id)
			continue
		}
		if d.missed[id]++; d.missed[id] >= constants.VanishTwice {
			delete(d.missed, id)
			e.Gone = append(e.Gone, id)
		}
	}
	if listed && len(e.Replicas) == 0 && len(e.Gone) == 0 {
		return nil
	}
	return e
}
