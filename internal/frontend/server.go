package frontend

import (
	"context"
	"errors"
	"log"
	"log/slog"
	"math"
	"net"
	"net/http"
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

// connLimits are the limits that connections follow, those that are there too.
type connLimits struct {
	headBytes   int           // of a request's head, its start line included
	headTimeout time.Duration // from the first byte of a head, or the beginning of the connection, to the head's end
	idleTimeout time.Duration // between two requests
}

// Server accepts clients. A change of limits applies to the connections that are there as to those that come later.
type Server struct {
	ctx      context.Context
	log      *slog.Logger
	listener net.Listener
	http     *http.Server
	limits   atomic.Pointer[connLimits] // the newest ones, read by every connection
	ahead    atomic.Int64               // bytes that connections keep for later requests
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
	s := &Server{ctx: ctx, log: log.With("part", "frontend"), listener: listener}
	s.http = s.httpServer(catchAll)
	s.SetLimits(routing.Limits{})
	return s
}

// SetLimits puts limits in force; zero or negative ones mean the defaults of package settings.
func (s *Server) SetLimits(limits routing.Limits) {
	next := &connLimits{
		headBytes:   settings.HeaderBytes,
		headTimeout: settings.HeaderTimeout,
		idleTimeout: settings.IdleTimeout,
	}
	if limits.MaxHeaderBytes > 0 {
		next.headBytes = limits.MaxHeaderBytes
	}
	if limits.HeaderTimeout > 0 {
		next.headTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		next.idleTimeout = limits.IdleTimeout
	}
	s.limits.Store(next)
}

// httpServer returns the server that reads requests. It has no limits of its own: connections follow those in force (see
// clientConn).
func (s *Server) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:                      handler,
		MaxHeaderBytes:               math.MaxInt32,
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

// Run serves connections until the listener closes or the context ends.
func (s *Server) Run() { _ = s.http.Serve(clientListener{s}) }

// clientListener makes a clientConn of each connection of a server's listener.
type clientListener struct{ server *Server }

// Accept waits for the next connection. A failed accept is tried again after a pause; after Close it gives net.ErrClosed.
func (l clientListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.server.listener.Accept()
		if err == nil {
			return newClientConn(conn, l.server.limits.Load, &l.server.ahead), nil
		}
		if errors.Is(err, net.ErrClosed) || !wait.Sleep(l.server.ctx, acceptPause) {
			return nil, net.ErrClosed
		}
	}
}

// Close ends the listener; connections that it has given out stay.
func (l clientListener) Close() error { return l.server.listener.Close() }

// Addr is the address that clients connect to.
func (l clientListener) Addr() net.Addr { return l.server.listener.Addr() }

// Close ends the server and its connections at once.
func (s *Server) Close() { s.Shutdown(0) }

// Shutdown accepts no more connections and waits, at most for the timeout, until the requests in flight have ended; then
// it closes what is left.
func (s *Server) Shutdown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}
