package adminapi

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/state"
)

// MaxConfigurationBytes is the size of the largest configuration accepted.
const MaxConfigurationBytes = 16 << 20

const (
	// callTimeout is the time from a call's arrival to its answer: callers move on after a second of silence.
	callTimeout = 850 * time.Millisecond
	// largeBodyBytes is the size of a body beyond which callers wait longer for the answer.
	largeBodyBytes = 256 << 10
	// bodyTimeout is how long a caller may take over its body, however large.
	bodyTimeout = 10 * time.Second
	// largeBodyTimeout is the time that a call with a large body has from its end, at least.
	largeBodyTimeout = 500 * time.Millisecond
)

// Answers to calls that reach no decision.
var (
	errNoPrimary       = errkind.New(errkind.Unavailable, "no primary is known")
	errNoSuchCall      = errkind.New(errkind.NoRoute, "no such call")
	errNoConfiguration = errkind.New(errkind.NoRoute, "no configuration yet")
	errNoBaseRevision  = errkind.New(errkind.InvalidInput, "If-Match must name the version built on")
	errNoZone          = errkind.New(errkind.InvalidInput, "no zone")
)

// server answers the calls at the control address.
type server struct {
	ctx         context.Context // ends waits for a primary
	log         *slog.Logger
	control     ControlState
	tallies     TallyState // nil: this deployment has none
	primaryLoss primaryLoss
	counts      callCounts
	unknown     unknownCalls
}

// Handler answers the operator's calls. It is safe for concurrent use.
type Handler struct {
	http.Handler
	server *server
}

// Counts lists how often each call was answered with each status.
func (h *Handler) Counts() []CallCount { return h.server.counts.list() }

// call is one call of the operator.
type call struct {
	writer   http.ResponseWriter
	request  *http.Request
	deadline time.Time
}

// New makes the handler for the control address. The context ends the waits of calls for a primary. Without tallies, which
// may be nil, their calls don't exist.
func New(ctx context.Context, log *slog.Logger, control ControlState, tallies TallyState) *Handler {
	s := &server{ctx: ctx, log: log.With("part", "adminapi"), control: control, tallies: tallies}
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	serve := func(c echo.Context) error {
		s.dispatch(c.Response().Writer, c.Request())
		return nil
	}
	router.Any("/*", serve)
	router.RouteNotFound("/*", serve)
	return &Handler{Handler: router, server: s}
}

// dispatch answers a call and counts its answer.
func (s *server) dispatch(w http.ResponseWriter, r *http.Request) {
	answered := &statusWriter{ResponseWriter: w}
	name := s.answer(&call{writer: answered, request: r, deadline: time.Now().Add(callTimeout)})
	s.counts.add(name, answered.status)
}

// handler answers a call; segment is the last one of its path, escaped.
type handler func(c *call, segment string)

// answer answers a call and names it for the counts.
func (s *server) answer(c *call) (name string) {
	path := strings.Split(strings.Trim(c.request.URL.EscapedPath(), "/"), "/")
	name = c.request.Method + " " + strings.Join(path[:min(2, len(path))], "/")
	var answer handler
	switch len(path) {
	case 2:
		answer = s.configHandler(name)
	case 3:
		answer = s.itemHandler(name)
	}
	if answer == nil {
		if s.unknown.isNew(name) {
			s.log.Warn("call that does not exist", "call", name)
		}
		httpreply.Error(c.writer, errNoSuchCall)
		return otherCall
	}
	answer(c, path[len(path)-1])
	return name
}

// configHandler is that of a call on the whole configuration; nil if there is none.
func (s *server) configHandler(name string) handler {
	switch name {
	case "GET v1/config":
		return s.onPrimary(func(c *call, _ string) { s.readConfig(c) })
	case "PUT v1/config":
		return s.onPrimary(func(c *call, _ string) {
			s.changeConfig(c, func(base int64, body []byte) state.Event { return state.NewPutConfig(base, body) })
		})
	case "PATCH v1/config":
		return s.onPrimary(func(c *call, _ string) {
			s.changeConfig(c, func(base int64, body []byte) state.Event { return state.NewPatchConfig(base, body) })
		})
	}
	return nil
}

// itemHandler is that of a call on what the last segment of its path names; nil if there is none.
func (s *server) itemHandler(name string) handler {
	switch name {
	case "POST v1/evacuation":
		return s.onPrimary(func(c *call, segment string) {
			s.changeZone(c, segment, func(zone string) state.Event { return state.EvacuateZone{Zone: zone} })
		})
	case "DELETE v1/evacuation":
		return s.onPrimary(func(c *call, segment string) {
			s.changeZone(c, segment, func(zone string) state.Event { return state.ReadmitZone{Zone: zone} })
		})
	case "POST v1/tallies", "GET v1/tallies":
		if s.tallies != nil {
			return s.answerTally
		}
	}
	return nil
}

func (s *server) readConfig(c *call) {
	view, err := s.control.Read(s.ctx, c.deadline)
	switch {
	case err != nil:
		s.log.Info("config read not answered", "status", errkind.KindOf(err).Status(), "error", err.Error())
		s.replyError(c, err)
	case view.Config.Revision == 0:
		httpreply.Error(c.writer, errNoConfiguration)
	default:
		c.writer.Header().Set("ETag", strconv.Quote(strconv.FormatInt(view.Config.Revision, 10)))
		httpreply.Bytes(c.writer, http.StatusOK, view.Config.JSON())
	}
}

func (s *server) changeConfig(c *call, newEvent func(base int64, body []byte) state.Event) {
	c.boundBody()
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, MaxConfigurationBytes))
	if err != nil {
		httpreply.Error(c.writer, errkind.Wrap(errkind.OfBody(err), err, "body can't be read whole"))
		return
	}
	if after := time.Now().Add(largeBodyTimeout); len(body) > largeBodyBytes && c.deadline.Before(after) {
		c.deadline = after
	}
	base, err := baseRevision(c.request.Header.Get("If-Match"))
	if err != nil {
		httpreply.Error(c.writer, err)
		return
	}
	s.commit(c, newEvent(base, body))
}

// baseRevision reads the revision that a change builds on: a number, quoted or not, weak or not.
func baseRevision(ifMatch string) (int64, error) {
	tag := strings.TrimPrefix(strings.TrimSpace(ifMatch), "W/")
	base, err := strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
	if err != nil || base < 0 {
		return 0, errNoBaseRevision
	}
	return base, nil
}

func (s *server) changeZone(c *call, segment string, newEvent func(zone string) state.Event) {
	zone, err := url.PathUnescape(segment)
	if err != nil || zone == "" {
		httpreply.Error(c.writer, errNoZone)
		return
	}
	s.commit(c, newEvent(zone))
}

func (s *server) commit(c *call, event state.Event) {
	request := &ChangeRequest{Event: event, Deadline: c.deadline, CallerGone: c.request.Context().Done()}
	if err := s.control.Commit(s.ctx, request); err != nil {
		s.logFailed(event, err)
		s.replyError(c, err)
		return
	}
	httpreply.JSON(c.writer, http.StatusOK, map[string]bool{"ok": true})
}

// logFailed logs a change that was answered with an error. What is unavailable has a line of its own: it may have been
// made ([ControlState]).
func (s *server) logFailed(event state.Event, err error) {
	kind := errkind.KindOf(err)
	log := s.log.With("kind", string(event.Kind()), "status", kind.Status())
	switch event := event.(type) {
	case state.ConfigEvent:
		log = log.With("base", event.BaseRevision())
	case state.EvacuateZone:
		log = log.With("zone", event.Zone)
	case state.ReadmitZone:
		log = log.With("zone", event.Zone)
	}
	if kind == errkind.Unavailable {
		log.Info("config change not acknowledged", "error", err.Error())
		return
	}
	log.Info("config change rejected", "error", err.Error())
}
