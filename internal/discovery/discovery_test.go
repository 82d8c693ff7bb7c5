package discovery

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/state"
)

// platform answers calls over in-memory connections.
type platform struct {
	c     chan net.Conn
	calls []string
	page  func(token string) (int, string)
}

func (p *platform) Accept() (net.Conn, error) {
	if c, ok := <-p.c; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (p *platform) Close() error   { return nil }
func (p *platform) Addr() net.Addr { return &net.TCPAddr{} }

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls = append(p.calls, r.URL.RequestURI())
	st, b := p.page(r.URL.Query().Get("page_token"))
	w.WriteHeader(st)
	_, _ = w.Write([]byte(b))
}

func read(t *testing.T, page func(string) (int, string)) ([]*state.Replica, []string, error) {
	t.Helper()
	p := &platform{c: make(chan net.Conn, 4), page: page}
	s := &http.Server{Handler: p}
	go func() { _ = s.Serve(p) }()
	defer func() { close(p.c); _ = s.Close() }()
	r := NewReader("10.0.0.1:1", func(string, time.Duration) (net.Conn, error) {
		a, b := net.Pipe()
		p.c <- b
		return a, nil
	})
	out, err := r.Read(context.Background())
	return out, p.calls, err
}

const one = `{"replica_id":"a","backend_pool":"p","address":"x:1","zone":"z","slots":3,"state":"ready","warmup_left_ms":0,"unknown":1}`

func TestPagesAreReadWhole(t *testing.T) {
	out, calls, err := read(t, func(tok string) (int, string) {
		if tok == "" {
			return 200, `{"replicas":[` + one + `],"next_token":"p 2"}`
		}
		return 200, `{"replicas":[],"next_token":null}`
	})
	require.NoError(t, err)
	require.Len(t, out, 1)
	require.Equal(t, []string{"/replicas", "/replicas?page_token=p+2"}, calls)
}

func TestWhatCanNotBeReadIsNoList(t *testing.T) {
	for _, x := range []struct {
		st int
		b  string
	}{{429, "{}"}, {500, ""}, {200, "nonsense"}, {200, "{}"}, {200, `{"replicas":null}`}, {200, `{"replicas":[{}]}`}, {200, `{"replicas":[null]}`}, {200, `{"replicas":[` + one + `],"next_token":"again"}`}} {
		_, _, err := read(t, func(string) (int, string) { return x.st, x.b })
		require.Error(t, err, x.b)
	}
}

func TestDiff(t *testing.T) {
	d := NewDiffer()
	a, b := &state.Replica{ID: "a", State: "ready"}, &state.Replica{ID: "b", State: "ready"}
	known := map[string]*state.Replica{}
	e := d.Diff(known, false, []*state.Replica{a, b})
	require.Len(t, e.Changed, 2)
	known["a"], known["b"] = a, b
	require.Nil(t, d.Diff(known, true, []*state.Replica{a, b}))
	require.Nil(t, d.Diff(known, true, nil), "an empty listing changes nothing")
	require.Nil(t, d.Diff(known, true, []*state.Replica{a}), "missed once")
	require.Nil(t, d.Diff(known, true, []*state.Replica{a, b}), "and back")
	require.Nil(t, d.Diff(known, true, []*state.Replica{a}))
	e = d.Diff(known, true, []*state.Replica{a})
	require.Equal(t, []string{"b"}, e.Removed)
	warm := *a
	warm.WarmupLeftMs = 900
	require.Len(t, d.Diff(known, true, []*state.Replica{&warm, b}).Changed, 1)
	cooler := warm
	cooler.WarmupLeftMs = 100
	known["a"] = &warm
	require.Nil(t, d.Diff(known, true, []*state.Replica{&cooler, b}), "still cold is no news")
}
