package frontend

import (
	"context"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/atomic"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/routing"
	"shaletrestle/internal/settings"
)

// acceptPause is the wait after an accept that failed: descriptors may have run out.
const acceptPause = 20 * time.Millisecond

type clientConnKey struct{}

// AmbiguousFraming reports whether a request's body could be delimited in two ways, by its chunks and by a length.
// A chunked request that did not come through a [Server] counts as ambiguous.
func AmbiguousFraming(request *http.Request) bool {
	if len(request.TransferEncoding) == 0 {
		return false
	}
	conn, ok := request.Context().Value(clientConnKey{}).(*clientConn)
	return !ok || conn.ambiguous()
}

// handoverListener gives accepted connections to one http.Server.
type handoverListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	addr   net.Addr
}

// Accept waits for the next connection. After Close it gives net.ErrClosed.
func (l *handoverListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener; connections that it has given out stay.
func (l *handoverListener) Close() error { l.once.Do(func() { close(l.closed) }); return nil }

// Addr is the address that clients connect to.
func (l *handoverListener) Addr() net.Addr { return l.addr }

// generation serves the connections that were accepted under one set of limits.
type generation struct {
	server   *http.Server
	listener *handoverListener
}

// Server accepts clients. A change of limits begins a new generation, for the connections that come later; the limit on
// idle connections is the only one that also applies to those that are there.
type Server struct {
	ctx         context.Context
	log         *slog.Logger
	listener    net.Listener
	handler     http.Handler
	idleTimeout atomic.Duration // the newest one, read by every connection
	ahead       atomic.Int64    // bytes that connections keep for later requests

	mu       sync.Mutex // guards the fields below
	current  *generation
	draining []*generation
	limits   routing.Limits
}

// New returns a server of the connections of a listener, with the default limits. It accepts none before Run.
func New(ctx context.Context, log *slog.Logger, listener net.Listener, handler http.Handler) *Server {
	catchAll := echo.New()
	catchAll.HideBanner, catchAll.HidePort = true, true
	serve := func(c echo.Context) error {
		if conn, ok := c.Request().Context().Value(clientConnKey{}).(*clientConn); ok && conn.wasClosed() {
			panic(http.ErrAbortHandler) // closed as idle by a shutdown that did not see this request: it is not passed on
		}
		handler.ServeHTTP(c.Response().Writer, c.Request())
		return nil
	}
	catchAll.RouteNotFound("/*", serve)
	catchAll.Any("/*", serve)
	s := &Server{ctx: ctx, log: log.With("part", "frontend"), listener: listener, handler: catchAll}
	s.SetLimits(routing.Limits{})
	return s
}

// SetLimits puts limits in force; zero or negative ones mean the defaults of package settings.
func (s *Server) SetLimits(limits routing.Limits) {
	if limits.MaxHeaderBytes <= 0 {
		limits.MaxHeaderBytes = settings.HeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = settings.HeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = settings.IdleTimeout
	}
	s.idleTimeout.Store(limits.IdleTimeout)
	limits.IdleTimeout = 0
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.limits == limits {
		return
	}
	s.limits = limits
	next := &generation{
		server:   s.httpServer(limits),
		listener: &handoverListener{conns: make(chan net.Conn), closed: make(chan struct{}), addr: s.listener.Addr()},
	}
	if s.current != nil {
		_ = s.current.listener.Close()
		s.draining = append(s.draining, s.current)
	}
	s.current = next
	go func() { _ = next.server.Serve(next.listener) }()
}

// httpServer returns the server of a generation. It has no idle timeout of its own: an idle connection closes itself
// (see clientConn).
func (s *Server) httpServer(limits routing.Limits) *http.Server {
	return &http.Server{
		Handler:                      s.handler,
		MaxHeaderBytes:               limits.MaxHeaderBytes,
		ReadHeaderTimeout:            limits.HeaderTimeout,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     debugLogger(s.log),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, clientConnKey{}, conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if client, ok := conn.(*clientConn); ok {
				client.setState(state)
			}
		},
	}
}

// debugLogger sends net/http's own lines to the debug level: a broken client is no event of ours.
func debugLogger(logger *slog.Logger) *log.Logger {
	return slog.NewLogLogger(logger.Handler(), slog.LevelDebug)
}

// Run accepts connections until the listener closes or the context ends.
func (s *Server) Run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil || strings.Contains(err.Error(), net.ErrClosed.Error()) {
				return
			}
			wait.Sleep(s.ctx, acceptPause)
			continue
		}
		s.dispatch(newClientConn(conn, s.idleTimeout.Load, &s.ahead))
	}
}

// dispatch gives a connection to the current generation, and closes it if that is the last one and has ended.
func (s *Server) dispatch(conn net.Conn) {
	for {
		s.mu.Lock()
		current := s.current
		s.mu.Unlock()
		select {
		case current.listener.conns <- conn:
			return
		case <-current.listener.closed:
			s.mu.Lock()
			isLast := s.current == current
			s.mu.Unlock()
			if isLast {
				_ = conn.Close()
				return
			}
		}
	}
}

// Close ends the server and its connections at once.
func (s *Server) Close() { s.Shutdown(0) }

// Shutdown accepts no more connections and waits, at most for the timeout, until the requests in flight have ended; then
// it closes what is left.
func (s *Server) Shutdown(timeout time.Duration) {
	_ = s.listener.Close()
	s.mu.Lock()
	all := append(append([]*generation{}, s.draining...), s.current)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	var ended sync.WaitGroup
	for _, each := range all {
		ended.Add(1)
		go func() {
			defer ended.Done()
			if each.server.Shutdown(ctx) != nil {
				_ = each.server.Close()
			}
		}()
	}
	ended.Wait()
}
