package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// server answers over pipes and drops connections that were idle for a while.
type server struct {
	mu        sync.Mutex
	dropAfter time.Duration
	open      int
}

func (s *server) DialReplica(string, time.Duration) (net.Conn, error) {
	a, b := net.Pipe()
	s.mu.Lock()
	s.open++
	s.mu.Unlock()
	go func() {
		defer func() {
			_ = b.Close()
			s.mu.Lock()
			s.open--
			s.mu.Unlock()
		}()
		br, last := bufio.NewReader(b), time.Now()
		for {
			q, err := http.ReadRequest(br)
			if err != nil || s.dropAfter > 0 && time.Since(last) > s.dropAfter {
				return
			}
			last = time.Now()
			_, _ = b.Write([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: " + q.Header.Get(HeaderAttemptID) + "\r\nReplica-Seal: s\r\nContent-Length: 0\r\n\r\n"))
		}
	}()
	return a, nil
}

func (s *server) now() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

var ids atomic.Int64 // every request has an id of its own

func use(t *testing.T, p *Pool, unrepeatable bool) (*Connection, Part) {
	ch, err := p.Get(t.Context(), GetOptions{Owner: "o", Timeout: time.Second, Unrepeatable: unrepeatable})
	require.NoError(t, err)
	id, end := fmt.Sprint("x", ids.Add(1)), time.Now().Add(time.Second)
	a, _, err := ch.Send(&Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{HeaderAttemptID: {id}}, AttemptID: id, NotAfter: end, Deadline: end})
	require.NoError(t, err)
	defer a.Close()
	for {
		p, ok := a.Next(t.Context(), nil)
		require.True(t, ok)
		if p.Kind == PartEnd || p.Kind == PartFailure {
			return ch, p
		}
	}
}

func TestPool_Get_UnrepeatableRequest_AvoidsConnectionsLikelyStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, made := &server{dropAfter: 3 * time.Second}, &DialCounts{}
		p := NewPool("x", s, 4, &KeepAlive{}, made)
		defer p.Close()
		_, end := use(t, p, false)
		require.Equal(t, PartEnd, end.Kind)
		time.Sleep(4 * time.Second)
		ch, end := use(t, p, false)
		require.Equal(t, PartFailure, end.Kind)
		require.True(t, end.Reset)
		require.Equal(t, 4*time.Second, ch.idleBefore)
		ch.WasStale()
		require.EqualValues(t, 1, made.Stale.Load())
		require.EqualValues(t, 1, made.First.Load())
		synctest.Wait() // the pool has noticed that the stale one is gone
		ch, end = use(t, p, false)
		require.Equal(t, PartEnd, end.Kind)
		require.Zero(t, ch.idleBefore)
		require.EqualValues(t, 1, made.Reopened.Load())
		time.Sleep(2 * time.Second) // below what was learned, above half of it
		n := made.All.Load()
		ch, end = use(t, p, true)
		require.Equal(t, PartEnd, end.Kind)
		require.Zero(t, ch.idleBefore, "a new one")
		require.Equal(t, n+1, made.All.Load())
		require.EqualValues(t, 1, made.Untrusted.Load())
		ch, _ = use(t, p, false)
		require.NotNil(t, ch)
		require.Equal(t, n+1, made.All.Load(), "a repeatable request uses it")
		time.Sleep(2900 * time.Millisecond)
		_, end = use(t, p, false)
		require.Equal(t, PartEnd, end.Kind, "those idle longer than was learned are not used")
	})
}

func TestPool_SetLimit_ClosesConnectionsOverIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{}
		p := NewPool("x", s, 4, &KeepAlive{}, &DialCounts{})
		defer p.Close()
		var chs []*Connection
		for range 2 {
			ch, err := p.Get(t.Context(), GetOptions{Owner: "o", Timeout: time.Second})
			require.NoError(t, err)
			chs = append(chs, ch)
		}
		for _, o := range []string{"a", "b"} {
			ch, err := p.Get(t.Context(), GetOptions{Owner: o, Timeout: time.Second})
			require.NoError(t, err)
			chs = append(chs, ch)
		}
		require.Equal(t, 4, s.now())
		p.SetLimit(2)
		for _, ch := range chs {
			ch.Release()
		}
		synctest.Wait()
		require.Equal(t, 2, s.now(), "those over the share are closed as they come back")
		p.SetLimit(0)
		synctest.Wait()
		require.Zero(t, s.now())
		_, err := p.Get(t.Context(), GetOptions{Owner: "o", Timeout: time.Hour})
		require.ErrorIs(t, err, ErrNoShare, "without a share it fails at once")
		p.SetLimit(3)
		ch, err := p.Get(t.Context(), GetOptions{Owner: "o", Timeout: 100 * time.Millisecond})
		require.NoError(t, err)
		ch.Release()
	})
}
