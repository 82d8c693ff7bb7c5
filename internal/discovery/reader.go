// Package discovery reads the platform's list of replicas and turns it into
// changes of the known state.
package discovery

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/state"
)

// maxPages is the most pages of one listing; more is taken for an endless loop.
const maxPages = 1000

// Reader calls the platform.
type Reader struct {
	url    string
	client *http.Client
}

// NewReader makes a reader of the list at an address; dial may be nil for the
// real network.
func NewReader(address string, dial func(address string, timeout time.Duration) (net.Conn, error)) *Reader {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	if dial != nil {
		transport.DialContext = func(_ context.Context, _, address string) (net.Conn, error) {
			return dial(address, dialTimeout)
		}
	}
	return &Reader{
		url:    "http://" + address + "/replicas",
		client: &http.Client{Transport: transport, Timeout: listWait},
	}
}

// page is one page of the list.
type page struct {
	Replicas *[]*state.Replica `json:"replicas"`
	Next     *string           `json:"next_token"`
}

// isLast tells whether no page follows.
func (p *page) isLast() bool { return p.Next == nil || *p.Next == "" }

// Read gives the whole list; it is an error if any page fails.
func (r *Reader) Read(ctx context.Context) ([]*state.Replica, error) {
	var replicas []*state.Replica
	token := ""
	for range maxPages {
		body, err := r.fetch(ctx, token)
		if err != nil {
			return nil, err
		}
		page, err := parsePage(body)
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, *page.Replicas...)
		if page.isLast() {
			return replicas, nil
		}
		token = *page.Next
	}
	return nil, errkind.New(errkind.InvalidInput, "platform: the list has no end")
}

// fetch gets the page with a token, the first one if it is empty.
func (r *Reader) fetch(ctx context.Context, token string) ([]byte, error) {
	address := r.url
	if token != "" {
		address += "?page_token=" + url.QueryEscape(token)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "platform")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unavailable, err, "platform")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	_ = response.Body.Close()
	if err != nil {
		return nil, errkind.Wrap(errkind.Unavailable, err, "platform")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errkind.New(errkind.Unavailable, "platform answered %d", response.StatusCode)
	}
	return body, nil
}

// parsePage reads a page and checks that each of its entries is complete.
func parsePage(body []byte) (*page, error) {
	parsed := &page{}
	if err := json.Unmarshal(body, parsed); err != nil || parsed.Replicas == nil {
		return nil, errkind.New(errkind.InvalidInput, "platform: page can't be read")
	}
	for _, replica := range *parsed.Replicas {
		if replica == nil || replica.ID == "" || replica.Address == "" || replica.Pool == "" {
			return nil, errkind.New(errkind.InvalidInput, "platform: entry without id, address or service")
		}
	}
	return parsed, nil
}
