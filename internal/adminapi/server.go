// Package adminapi answers the operator over HTTP.
package adminapi

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"shaletrestle/coord/wait"

	"github.com/labstack/echo/v4"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/state"
)

// Server serves the control address.
type Server struct {
	ctx    context.Context
	log    *slog.Logger
	orders ControlState

	mu          sync.Mutex
	noPrimaryAt time.Time // since when calls found no primary; zero while there is one
}

// call is one call of the operator.
type call struct {
	writer   http.ResponseWriter
	request  *http.Request
	deadline time.Time
}

// New makes the operator's handler.
func New(ctx context.Context, log *slog.Logger, orders ControlState) http.Handler {
	s := &Server{ctx: ctx, log: log.With("part", "adminapi"), orders: orders}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	serve := func(c echo.Context) error {
		s.dispatch(c.Response().Writer, c.Request())
		return nil
	}
	e.Any("/*", serve)
	e.RouteNotFound("/*", serve)
	return e
}

func (s *Server) dispatch(w http.ResponseWriter, r *http.Request) {
	c := &call{writer: w, request: r, deadline: time.Now().Add(orderWait)}
	path := strings.Split(strings.Trim(r.URL.EscapedPath(), "/"), "/")
	name := r.Method + " " + strings.Join(path[:min(2, len(path))], "/")
	switch {
	case len(path) == 2 && name == "GET v1/config":
		s.route(c, s.read)
	case len(path) == 2 && name == "PUT v1/config":
		s.route(c, func(c *call) { s.config(c, putConfig) })
	case len(path) == 2 && name == "PATCH v1/config":
		s.route(c, func(c *call) { s.config(c, patchConfig) })
	case len(path) == 3 && name == "POST v1/evacuation":
		s.route(c, func(c *call) { s.evacuate(c, path[2], evacuateZone) })
	case len(path) == 3 && name == "DELETE v1/evacuation":
		s.route(c, func(c *call) { s.evacuate(c, path[2], readmitZone) })
	default:
		httpreply.Error(w, errkind.New(errkind.NoRoute, "no such call"))
	}
}

// route answers here, points to the primary, or says that none is known. While a takeover may be under way it
// waits a little for its end.
func (s *Server) route(c *call, here func(*call)) {
	for {
		address, mine := s.orders.Primary()
		if mine || address != "" {
			s.primaryFound()
		}
		if mine {
			here(c)
			return
		}
		if address != "" {
			redirect(c, address)
			return
		}
		if !s.worthWaiting(c) || !wait.Sleep(s.ctx, takeoverLook) {
			httpreply.Error(c.writer, errkind.New(errkind.Unavailable, "no primary is known"))
			return
		}
	}
}

func (s *Server) primaryFound() {
	s.mu.Lock()
	s.noPrimaryAt = time.Time{}
	s.mu.Unlock()
}

// worthWaiting tells whether the primary was lost so lately that a takeover may be under way, and whether the
// caller can wait for it. A member that is cut off answers at once: another one may know more.
func (s *Server) worthWaiting(c *call) bool {
	now := time.Now()
	s.mu.Lock()
	if s.noPrimaryAt.IsZero() {
		s.noPrimaryAt = now
	}
	lost := now.Sub(s.noPrimaryAt)
	s.mu.Unlock()
	gone := c.request.Context().Err() != nil
	left := c.deadline.Sub(now)
	return !gone && lost < takeoverWait && left > takeoverLeaves
}

func redirect(c *call, address string) {
	c.writer.Header().Set("Location", "http://"+address+c.request.URL.RequestURI())
	httpreply.JSON(c.writer, errkind.NotPrimary.Status(), map[string]string{"error": errkind.NotPrimary.Text()})
}

// fault answers an error. A member that is no longer primary points to the new one, if it knows it.
func (s *Server) fault(c *call, err error) {
	if errkind.KindOf(err) != errkind.NotPrimary {
		httpreply.Error(c.writer, err)
		return
	}
	address, mine := s.orders.Primary()
	if mine || address == "" {
		httpreply.Error(c.writer, errkind.New(errkind.Unavailable, "no primary is known"))
		return
	}
	redirect(c, address)
}

func (s *Server) read(c *call) {
	v, err := s.orders.Read(s.ctx, c.deadline)
	switch {
	case err != nil:
		s.fault(c, err)
	case v.Config.Revision == 0:
		httpreply.Error(c.writer, errkind.New(errkind.NoRoute, "no configuration yet"))
	default:
		c.writer.Header().Set("ETag", strconv.Quote(strconv.FormatInt(v.Config.Revision, 10)))
		httpreply.Bytes(c.writer, http.StatusOK, v.Config.JSON())
	}
}

func (s *Server) config(c *call, event func(base int64, body []byte) state.Event) {
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, MaxConfigurationBytes))
	if err != nil {
		httpreply.Error(c.writer, errkind.New(errkind.InvalidInput, "body can't be read whole"))
		return
	}
	if after := time.Now().Add(afterLargeBody); len(body) > largeBody && c.deadline.Before(after) {
		c.deadline = after
	}
	base, err := builtOn(c.request.Header.Get("If-Match"))
	if err != nil {
		httpreply.Error(c.writer, err)
		return
	}
	s.take(c, event(base, body))
}

// builtOn reads the version that a change builds on.
func builtOn(ifMatch string) (int64, error) {
	tag := strings.TrimPrefix(strings.TrimSpace(ifMatch), "W/")
	base, err := strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
	if err != nil || base < 0 {
		return 0, errkind.New(errkind.InvalidInput, "If-Match must name the version built on")
	}
	return base, nil
}

func (s *Server) evacuate(c *call, segment string, event func(zone string) state.Event) {
	zone, err := url.PathUnescape(segment)
	if err != nil || zone == "" {
		httpreply.Error(c.writer, errkind.New(errkind.InvalidInput, "no zone"))
		return
	}
	s.take(c, event(zone))
}

func (s *Server) take(c *call, event state.Event) {
	request := &ChangeRequest{Event: event, Deadline: c.deadline, CallerGone: c.request.Context().Done()}
	if err := s.orders.Commit(s.ctx, request); err != nil {
		s.logRejected(event, err)
		s.fault(c, err)
		return
	}
	httpreply.JSON(c.writer, http.StatusOK, map[string]bool{"ok": true})
}

func (s *Server) logRejected(event state.Event, err error) {
	attributes := []any{"kind", event.Kind(), "error", err.Error()}
	if change, ok := event.(state.ConfigEvent); ok {
		attributes = append(attributes, "base", change.BaseRevision())
	}
	s.log.Info("config change rejected", attributes...)
}

func putConfig(base int64, body []byte) state.Event   { return state.NewPutConfig(base, body) }
func patchConfig(base int64, body []byte) state.Event { return state.NewPatchConfig(base, body) }
func evacuateZone(zone string) state.Event            { return state.EvacuateZone{Zone: zone} }
func readmitZone(zone string) state.Event             { return state.ReadmitZone{Zone: zone} }
