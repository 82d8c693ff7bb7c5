package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"shaletrestle/internal/state"
)

// ListInterval is the time between two readings of the list: the bound drain_ms, less the list's lag and the time of an
// update, leaves room for three.
const ListInterval = 900 * time.Millisecond

const (
	// pageTimeout bounds the call for one page.
	pageTimeout = 700 * time.Millisecond
	// dialTimeout bounds a dial of the platform.
	dialTimeout = 200 * time.Millisecond
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 32 << 10
	// maxPageBytes bounds one page, which is read into memory.
	maxPageBytes = 4 << 20
	// maxListingBytes bounds the pages of one listing.
	maxListingBytes = 16 << 20
	// maxErrorBytes bounds what is read of an answer that is no page.
	maxErrorBytes = 64 << 10
	// maxPages is the most pages of one listing; more is taken for an endless loop.
	maxPages = 1000
)

// Reader calls the platform for its list ("GET /replicas", in pages). It keeps one idle connection and may be used by
// many goroutines.
type Reader struct {
	url    string
	client *http.Client
}

// NewReader makes a reader of the list at an address, a host and a port. dial may be nil for the real network.
func NewReader(address string, dial func(address string, timeout time.Duration) (net.Conn, error)) *Reader {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
	if dial != nil {
		transport.DialContext = func(_ context.Context, _, address string) (net.Conn, error) {
			return dial(address, dialTimeout)
		}
	}
	return &Reader{
		url:    "http://" + address + "/replicas",
		client: &http.Client{Transport: transport, Timeout: pageTimeout},
	}
}

// page is one page of the list.
type page struct {
	Replicas *entries `json:"replicas"`
	Next     *string  `json:"next_token"`
}

// entries are those of a page.
type entries []*state.Replica

// UnmarshalJSON reads entries up to the first that is not complete, so that a page takes no more than some times its bytes.
func (e *entries) UnmarshalJSON(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.Token(); err != nil {
		return err
	}
	*e = entries{}
	for i := 0; decoder.More(); i++ {
		var entry *state.Replica
		if err := decoder.Decode(&entry); err != nil {
			return err
		}
		if entry == nil {
			return fmt.Errorf("%w: entry %d of its page is null", ErrIncompleteEntry, i)
		}
		if entry.ID == "" || entry.Address == "" || entry.Pool == "" {
			return fmt.Errorf("%w: entry %d of its page, id %q", ErrIncompleteEntry, i, entry.ID)
		}
		*e = append(*e, entry)
	}
	return nil
}

// isLast reports whether no page follows.
func (p *page) isLast() bool { return p.Next == nil || *p.Next == "" }

// Listing is a complete list.
type Listing struct {
	Replicas []*state.Replica
	// RoundTrip is the shortest time from a call on an open connection to the head of its answer: how far away the platform is.
	RoundTrip time.Duration
}

// Read gives the complete list. If any page fails it gives none: the error is that of the call, a [StatusError], or one of
// this package's for a list that can't be used.
func (r *Reader) Read(ctx context.Context) (*Listing, error) {
	listing := &Listing{RoundTrip: pageTimeout}
	token, size := "", 0
	for range maxPages {
		body, roundTrip, err := r.fetch(ctx, token)
		if err != nil {
			return nil, err
		}
		if size += len(body); size > maxListingBytes {
			return nil, ErrTooLarge
		}
		page, err := parsePage(body)
		if err != nil {
			return nil, err
		}
		listing.RoundTrip = min(listing.RoundTrip, roundTrip)
		listing.Replicas = append(listing.Replicas, *page.Replicas...)
		if page.isLast() {
			return listing, nil
		}
		token = *page.Next
	}
	return nil, ErrTooManyPages
}

// fetch gets the page with a token, the first one if it is empty, and the time to the head of the answer.
func (r *Reader) fetch(ctx context.Context, token string) (body []byte, roundTrip time.Duration, err error) {
	address := r.url
	if token != "" {
		address += "?page_token=" + url.QueryEscape(token)
	}
	var connectedAt time.Time
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connectedAt = time.Now() }, // called by Do, before it returns
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("platform: %w", err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, 0, fmt.Errorf("platform: %w", err)
	}
	roundTrip = time.Since(connectedAt)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.CopyN(io.Discard, response.Body, maxErrorBytes) // so that the connection may be used again
		return nil, 0, &StatusError{Status: response.StatusCode}
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, maxPageBytes+1))
	if err != nil {
		return nil, 0, fmt.Errorf("platform: %w", err)
	}
	if len(body) > maxPageBytes {
		return nil, 0, ErrTooLarge
	}
	return body, roundTrip, nil
}

// parsePage reads a page and checks that each of its entries is complete.
func parsePage(body []byte) (*page, error) {
	parsed := &page{}
	err := json.Unmarshal(body, parsed)
	if errors.Is(err, ErrIncompleteEntry) {
		return nil, err
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidPage, err)
	}
	if parsed.Replicas == nil {
		return nil, fmt.Errorf("%w: no replicas key", ErrInvalidPage)
	}
	return parsed, nil
}
