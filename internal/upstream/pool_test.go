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

	"shaletrestle/coord/fairshare"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/errkind"
)

// server answers over pipes and forgets connections that were idle for a while.
type server struct {
	mu     sync.Mutex
	forget time.Duration
	open   int
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
			if err != nil || s.forget > 0 && time.Since(last) > s.forget {
				return
			}
			last = time.Now()
			_, _ = b.Write([]byte("HTTP/1.1 200 OK\r\nAttempt-Id: " + q.Header.Get(HeadID) + "\r\nReplica-Seal: s\r\nContent-Length: 0\r\n\r\n"))
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

func use(t *testing.T, p *Pool, wary bool) (*Connection, Part) {
	ch, err := p.Get("o", time.Second, wary, nil)
	require.NoError(t, err)
	id, end := fmt.Sprint("x", ids.Add(1)), time.Now().Add(time.Second)
	a, _, err := ch.Send(&Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{HeadID: {id}}, ID: id, NotAfter: end, Deadline: end})
	require.NoError(t, err)
	defer a.Drop()
	for {
		p, ok := a.Next(nil, nil)
		require.True(t, ok)
		if p.Kind == End || p.Kind == Fail {
			return ch, p
		}
	}
}

func TestWhatMayNotBeSentAgainAvoidsConnectionsThatMayBeForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, made := &server{forget: 3 * time.Second}, &Made{}
		p := NewPool("x", s, 4, &Keep{}, made)
		defer p.Shut()
		_, end := use(t, p, false)
		require.Equal(t, End, end.Kind)
		time.Sleep(4 * time.Second)
		ch, end := use(t, p, false)
		require.Equal(t, Fail, end.Kind)
		require.True(t, end.Reset)
		require.Equal(t, 4*time.Second, ch.rested)
		ch.Forgotten()
		require.EqualValues(t, 1, made.Forgot.Load())
		require.EqualValues(t, 1, made.First.Load())
		synctest.Wait() // the pool has heard that the forgotten one is gone
		ch, end = use(t, p, false)
		require.Equal(t, End, end.Kind)
		require.Zero(t, ch.rested)
		require.EqualValues(t, 1, made.Again.Load())
		time.Sleep(2 * time.Second) // below what was learned, above half of it
		n := made.All.Load()
		ch, end = use(t, p, true)
		require.Equal(t, End, end.Kind)
		require.Zero(t, ch.rested, "a new one")
		require.Equal(t, n+1, made.All.Load())
		require.EqualValues(t, 1, made.Wary.Load())
		ch, _ = use(t, p, false)
		require.NotNil(t, ch)
		require.Equal(t, n+1, made.All.Load(), "what may be sent again uses it")
		time.Sleep(2900 * time.Millisecond)
		_, end = use(t, p, false)
		require.Equal(t, End, end.Kind, "those idle longer than was learned are not used")
	})
}

func TestAPoolFollowsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{}
		p := NewPool("x", s, 4, &Keep{}, &Made{})
		defer p.Shut()
		var chs []*Connection
		for range 2 {
			ch, err := p.Get("o", time.Second, false, nil)
			require.NoError(t, err)
			chs = append(chs, ch)
		}
		for _, o := range []string{"a", "b"} {
			ch, err := p.Get(o, time.Second, false, nil)
			require.NoError(t, err)
			chs = append(chs, ch)
		}
		require.Equal(t, 4, s.now())
		p.Limit(2)
		for _, ch := range chs {
			ch.Back()
		}
		synctest.Wait()
		require.Equal(t, 2, s.now(), "those over the share are closed as they come back")
		p.Limit(0)
		synctest.Wait()
		require.Zero(t, s.now())
		_, err := p.Get("o", time.Hour, false, nil)
		require.Equal(t, errkind.Overloaded, errkind.KindOf(err), "without a share it fails at once")
		p.Limit(3)
		ch, err := p.Get("o", fairshare.LoanTimeout, false, nil)
		require.NoError(t, err)
		ch.Back()
	})
}
