// Package frontend serves clients: one catch-all handler behind net/http, with the limits of the setup in force.
package frontend

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"shaletrestle/internal/settings"

	"shaletrestle/coord/wait"

	"github.com/labstack/echo/v4"
	"go.uber.org/atomic"

	"shaletrestle/internal/routing"
)

type tapKey struct{}

// AmbiguousFraming tells whether an inquiry's framing could be read in two ways.
func AmbiguousFraming(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	t, ok := r.Context().Value(tapKey{}).(*tap)
	return !ok || t.doubtful()
}

// line hands accepted connections to one server.
type line struct {
	c    chan net.Conn
	done chan struct{}
	once sync.Once
	addr net.Addr
}

func (l *line) Accept() (net.Conn, error) {
	select {
	case c := <-l.c:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the line.
func (l *line) Close() error { l.once.Do(func() { close(l.done) }); return nil }

// Addr is the front address.
func (l *line) Addr() net.Addr { return l.addr }

type server struct {
	s *http.Server
	l *line
}

// Server accepts clients. A change of limits makes a new server for the connections that come later.
type Server struct {
	ctx context.Context
	log *slog.Logger
	ln  net.Listener
	h   http.Handler
	mu  sync.Mutex
	now *server
	old []*server
	lim routing.Limits
	// how long a connection may rest: the newest limit, also for connections taken under an older one
	idle atomic.Duration
}

// New makes the front over a listener.
func New(ctx context.Context, log *slog.Logger, ln net.Listener, h http.Handler) *Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	all := func(c echo.Context) error {
		w, r := c.Response().Writer, c.Request()
		if t, ok := r.Context().Value(tapKey{}).(*tap); ok {
			defer t.reset()
		}
		h.ServeHTTP(w, r)
		return nil
	}
	e.RouteNotFound("/*", all)
	e.Any("/*", all)
	f := &Server{ctx: ctx, log: log.With("part", "frontend"), ln: ln, h: e}
	f.SetLimits(routing.Limits{})
	return f
}

// SetLimits puts the limits of a setup in force for new connections.
func (f *Server) SetLimits(l routing.Limits) {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = settings.HeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = settings.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = settings.IdleTimeout
	}
	f.idle.Store(l.IdleTimeout)
	l.IdleTimeout = 0
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now != nil && f.lim == l {
		return
	}
	f.lim = l
	s := &server{f.httpServer(l), &line{c: make(chan net.Conn), done: make(chan struct{}), addr: f.ln.Addr()}}
	if f.now != nil {
		_ = f.now.l.Close()
		f.old = append(f.old, f.now)
	}
	f.now = s
	go func() { _ = s.s.Serve(s.l) }()
}

// httpServer makes the server for connections under the same limits. It has no idle limit of its own: a
// connection that rests is closed by its tap.
func (f *Server) httpServer(l routing.Limits) *http.Server {
	return &http.Server{
		Handler:                      f.h,
		MaxHeaderBytes:               l.MaxHeaderBytes,
		ReadHeaderTimeout:            l.HeaderTimeout,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     quiet(f.log),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, tapKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if t, ok := c.(*tap); ok {
				t.state(s)
			}
		},
	}
}

// Run accepts until the listener closes.
func (f *Server) Run() {
	for {
		c, err := f.ln.Accept()
		if err != nil {
			if f.ctx.Err() != nil || strings.Contains(err.Error(), net.ErrClosed.Error()) {
				return
			}
			wait.Sleep(f.ctx, acceptPause)
			continue
		}
		f.hand(&tap{Conn: c, limit: f.idle.Load})
	}
}

func (f *Server) hand(c net.Conn) {
	for {
		f.mu.Lock()
		s := f.now
		f.mu.Unlock()
		select {
		case s.l.c <- c:
			return
		case <-s.l.done:
			f.mu.Lock()
			over := f.now == s
			f.mu.Unlock()
			if over {
				_ = c.Close()
				return
			}
		}
	}
}

// Close ends the front at once.
func (f *Server) Close() { f.Shutdown(0) }

// Shutdown takes no more connections and waits for what is held, at most d.
func (f *Server) Shutdown(d time.Duration) {
	_ = f.ln.Close()
	f.mu.Lock()
	all := append(append([]*server{}, f.old...), f.now)
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(f.ctx, d)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if s.s.Shutdown(ctx) != nil {
				_ = s.s.Close()
			}
		}()
	}
	wg.Wait()
}
