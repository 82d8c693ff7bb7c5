package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"shaletrestle/internal/state"
)

type listPage struct {
	Replicas []*state.Replica `json:"replicas"`
	Next     *string          `json:"next_token"`
}

func ask(t *testing.T, p *platform, query string) (listPage, int) {
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/replicas"+query, nil))
	var l listPage
	if w.Code == http.StatusOK {
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &l))
	}
	return l, w.Code
}

func TestPlatform_List_LagsAndHasPagesAndRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var n atomic.Int64
		n.Store(5)
		p := newPlatform(ListSpec{LagMs: 400, RatePerS: 3, Page: 2}, func() (out []*state.Replica) {
			for i := range int(n.Load()) {
				out = append(out, &state.Replica{ID: fmt.Sprint(i), Zone: []string{"a", "b"}[i%2]})
			}
			return
		})
		go p.run(ctx)
		time.Sleep(time.Second)
		n.Store(6)
		time.Sleep(300 * time.Millisecond)
		l, _ := ask(t, p, "?page_token=4")
		require.Len(t, l.Replicas, 1, "the sixth is not listed yet")
		require.Nil(t, l.Next)
		time.Sleep(300 * time.Millisecond)
		l, _ = ask(t, p, "")
		require.Len(t, l.Replicas, 2)
		require.Equal(t, "2", *l.Next)
		l, _ = ask(t, p, "?page_token=4")
		require.Len(t, l.Replicas, 2)
		_, code := ask(t, p, "")
		require.Equal(t, http.StatusTooManyRequests, code)
		time.Sleep(1100 * time.Millisecond)
		l, code = ask(t, p, "?zone=b&page_token=2")
		require.Equal(t, http.StatusOK, code)
		require.Len(t, l.Replicas, 1)
		asked, over := p.counts()
		require.Equal(t, []int{5, 1}, []int{asked, over})
	})
}

func TestDelayedConn_BothWays_DelaysInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		s := newDelayedConn(a, 50*time.Millisecond)
		start := time.Now()
		go func() {
			buf := make([]byte, 3)
			for range 2 {
				_, _ = b.Read(buf)
				_, _ = b.Write(buf)
			}
		}()
		for i, w := range []string{"one", "two"} {
			_, err := s.Write([]byte(w))
			require.NoError(t, err)
			buf := make([]byte, 8)
			n, err := s.Read(buf)
			require.NoError(t, err)
			require.Equal(t, w, string(buf[:n]))
			require.Equal(t, time.Duration(i+1)*100*time.Millisecond, time.Since(start))
		}
		require.NoError(t, s.Close())
		_, err := s.Read(make([]byte, 1))
		require.Error(t, err)
		_ = b.Close()
	})
}
