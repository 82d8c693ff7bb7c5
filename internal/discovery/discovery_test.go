package discovery

import (
	"errors"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/state"
)

// fakePlatform answers calls over in-memory connections.
type fakePlatform struct {
	connections chan net.Conn
	calls       []string // request URIs
	page        func(token string) (status int, body string)
}

func (p *fakePlatform) Accept() (net.Conn, error) {
	if connection, ok := <-p.connections; ok {
		return connection, nil
	}
	return nil, net.ErrClosed
}
func (p *fakePlatform) Close() error   { return nil }
func (p *fakePlatform) Addr() net.Addr { return &net.TCPAddr{} }

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls = append(p.calls, r.URL.RequestURI())
	status, body := p.page(r.URL.Query().Get("page_token"))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

// read reads the list of a platform with these pages and gives the calls that it took.
func read(t *testing.T, page func(token string) (status int, body string)) (replicas []*state.Replica, calls []string, err error) {
	t.Helper()
	platform := &fakePlatform{connections: make(chan net.Conn, 4), page: page}
	server := &http.Server{Handler: platform}
	go func() { _ = server.Serve(platform) }()
	t.Cleanup(func() { close(platform.connections); _ = server.Close() })
	reader := NewReader("10.0.0.1:1", func(string, time.Duration) (net.Conn, error) {
		near, far := net.Pipe()
		platform.connections <- far
		return near, nil
	})
	listing, err := reader.Read(t.Context())
	if err != nil {
		return nil, platform.calls, err
	}
	return listing.Replicas, platform.calls, nil
}

const entry = `{"replica_id":"a","backend_pool":"p","address":"x:1","zone":"z","slots":3,"state":"ready","warmup_left_ms":0,"unknown":1}`

func TestReader_Pages_AreOneList(t *testing.T) {
	replicas, calls, err := read(t, func(token string) (int, string) {
		if token == "" {
			return 200, `{"replicas":[` + entry + `],"next_token":"p 2"}`
		}
		return 200, `{"replicas":[],"next_token":null}`
	})
	require.NoError(t, err)
	require.Len(t, replicas, 1)
	require.Equal(t, []string{"/replicas", "/replicas?page_token=p+2"}, calls)
}

func TestReader_UnusableAnswer_IsNoList(t *testing.T) {
	for _, x := range []struct {
		name     string
		status   int
		body     string
		want     error
		wantText string
	}{
		{"too many calls", 429, "{}", &StatusError{Status: 429}, "platform answered 429"},
		{"broken", 500, "", &StatusError{Status: 500}, "platform answered 500"},
		{"no JSON", 200, "nonsense", ErrInvalidPage, "platform: page can't be read: invalid character 'o' in literal null (expecting 'u')"},
		{"no list", 200, "{}", ErrInvalidPage, "platform: page can't be read: no replicas key"},
		{"null for a list", 200, `{"replicas":null}`, ErrInvalidPage, "platform: page can't be read: no replicas key"},
		{"empty entry", 200, `{"replicas":[{}]}`, ErrIncompleteEntry, `platform: entry without id, address or service: entry 0 of its page, id ""`},
		{"null for an entry", 200, `{"replicas":[null]}`, ErrIncompleteEntry, "platform: entry without id, address or service: entry 0 of its page is null"},
		{"endless", 200, `{"replicas":[` + entry + `],"next_token":"again"}`, ErrTooManyPages, "platform: the list has too many pages"},
	} {
		t.Run(x.name, func(t *testing.T) {
			replicas, _, err := read(t, func(string) (int, string) { return x.status, x.body })
			if !errors.Is(err, x.want) {
				require.Equal(t, x.want, err)
			}
			require.EqualError(t, err, x.wantText)
			require.Nil(t, replicas)
		})
	}
}

// TestReader_BytesWithoutEnd_AreBounded guards against a platform whose answer takes a controller over its memory.
func TestReader_BytesWithoutEnd_AreBounded(t *testing.T) {
	const mostBytes = 32 << 20
	long := strings.Repeat("x", maxPageBytes/2)
	for _, x := range []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"one page", 200, `{"replicas":[],"junk":"` + long + long, ErrTooLarge},
		{"many pages", 200, `{"replicas":[` + entry + `],"junk":"` + long + `","next_token":"again"}`, ErrTooLarge},
		{"an error", 500, long, &StatusError{Status: 500}},
		{"empty entries", 200, `{"replicas":[` + strings.Repeat("{},", maxPageBytes/4) + `{}]}`, ErrIncompleteEntry},
		{"empty entries behind a good one", 200, `{"replicas":[` + entry + strings.Repeat(",{}", maxPageBytes/4) + `]}`, ErrIncompleteEntry},
	} {
		t.Run(x.name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, calls, err := read(t, func(string) (int, string) { return x.status, x.body })
			runtime.ReadMemStats(&after)
			if !errors.Is(err, x.want) {
				require.Equal(t, x.want, err)
			}
			require.LessOrEqual(t, len(calls), 1+maxListingBytes/len(long))
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(mostBytes*max(1, len(calls))))
		})
	}
}

func TestDiffer_Listings_GiveTheirChanges(t *testing.T) {
	differ := NewDiffer()
	a, b := &state.Replica{ID: "a", State: "ready"}, &state.Replica{ID: "b", State: "ready"}
	known := map[string]*state.Replica{}
	require.Len(t, differ.Diff(known, false, []*state.Replica{a, b}).Changed, 2)
	known["a"], known["b"] = a, b
	require.Nil(t, differ.Diff(known, true, []*state.Replica{a, b}))
	require.Nil(t, differ.Diff(known, true, nil), "an empty listing changes nothing")
	require.Nil(t, differ.Diff(known, true, []*state.Replica{a}), "missed once")
	require.Nil(t, differ.Diff(known, true, []*state.Replica{a, b}), "and back")
	require.Nil(t, differ.Diff(known, true, []*state.Replica{a}))
	require.Equal(t, []string{"b"}, differ.Diff(known, true, []*state.Replica{a}).Removed)
}

func TestDiffer_WarmUp_IsAChangeWhenItBeginsAndEnds(t *testing.T) {
	differ := NewDiffer()
	ready, b := &state.Replica{ID: "a", State: "ready"}, &state.Replica{ID: "b", State: "ready"}
	warming, later := *ready, *ready
	warming.WarmupLeftMs, later.WarmupLeftMs = 900, 100
	known := map[string]*state.Replica{"a": ready, "b": b}
	require.Len(t, differ.Diff(known, true, []*state.Replica{&warming, b}).Changed, 1)
	known["a"] = &warming
	require.Nil(t, differ.Diff(known, true, []*state.Replica{&later, b}), "still warming up is no change")
	require.Len(t, differ.Diff(known, true, []*state.Replica{ready, b}).Changed, 1)
}
