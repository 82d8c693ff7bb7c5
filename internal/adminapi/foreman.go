// Package adminapi answers the operator.
package adminapi

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"shaletrestle/internal/constants"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
	"shaletrestle/internal/state"
	"shaletrestle/internal/task"
)

// Orders is the control state as the operator sees it.
type Orders interface {
	// Primary is the control address to ask, and whether it is this process.
	Primary() (addr string, here bool)
	// Take makes one order; nil means that it is in force for good.
	Take(sc *task.Scope, o *Order) error
	// Read gives the newest view, confirmed by the witnesses in this call.
	Read(sc *task.Scope) (*state.View, error)
}

// Order is one change that the operator asks for.
type Order struct {
	Kind     string
	Base     int64
	Body     []byte
	Locality string
}

// Foreman serves the control address.
type Foreman struct {
	sc *task.Scope
	o  Orders
}

// New makes the operator's handler.
func New(sc *task.Scope, o Orders) http.Handler {
	f := &Foreman{sc.Part("adminapi"), o}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	serve := func(c echo.Context) error { f.dispatch(c.Response().Writer, c.Request()); return nil }
	e.Any("/*", serve)
	e.RouteNotFound("/*", serve)
	return e
}

func (f *Foreman) dispatch(w http.ResponseWriter, r *http.Request) {
	seg := strings.Split(strings.Trim(r.URL.EscapedPath(), "/"), "/")
	call := r.Method + " " + strings.Join(seg[:min(2, len(seg))], "/")
	switch {
	case len(seg) == 2 && call == "GET v1/config":
		f.route(w, r, f.read)
	case len(seg) == 2 && call == "PUT v1/config":
		f.route(w, r, func(w http.ResponseWriter, r *http.Request) { f.config(w, r, state.Put) })
	case len(seg) == 2 && call == "PATCH v1/config":
		f.route(w, r, func(w http.ResponseWriter, r *http.Request) { f.config(w, r, state.Patch) })
	case len(seg) == 3 && call == "POST v1/evacuation":
		f.route(w, r, func(w http.ResponseWriter, r *http.Request) { f.evacuate(w, seg[2], state.Evacuate) })
	case len(seg) == 3 && call == "DELETE v1/evacuation":
		f.route(w, r, func(w http.ResponseWriter, r *http.Request) { f.evacuate(w, seg[2], state.Return) })
	default:
		httpreply.Fault(w, errkind.New(errkind.NoPath, "no such call"))
	}
}

// route answers here, points to the primary, or says that none is known.
func (f *Foreman) route(w http.ResponseWriter, r *http.Request, here func(http.ResponseWriter, *http.Request)) {
	addr, mine := f.o.Primary()
	switch {
	case mine:
		here(w, r)
	case addr != "":
		w.Header().Set("Location", "http://"+addr+r.URL.RequestURI())
		httpreply.JSON(w, errkind.NotHere.Status(), map[string]string{"error": errkind.NotHere.Word()})
	default:
		httpreply.Fault(w, errkind.New(errkind.Unready, "no primary is known"))
	}
}

func (f *Foreman) read(w http.ResponseWriter, r *http.Request) {
	v, err := f.o.Read(f.sc)
	switch {
	case err != nil:
		httpreply.Fault(w, err)
	case v.Doc.Epoch == 0:
		httpreply.Fault(w, errkind.New(errkind.NoPath, "no configuration yet"))
	default:
		w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(v.Doc.Epoch, 10)))
		httpreply.Bytes(w, http.StatusOK, v.Doc.JSON())
	}
}

func (f *Foreman) config(w http.ResponseWriter, r *http.Request, kind string) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, constants.OrderBody))
	if err != nil {
		httpreply.Fault(w, errkind.New(errkind.BadInput, "body can't be read whole"))
		return
	}
	m := strings.Trim(strings.TrimPrefix(strings.TrimSpace(r.Header.Get("If-Match")), "W/"), `"`)
	base, err := strconv.ParseInt(m, 10, 64)
	if err != nil || base < 0 {
		httpreply.Fault(w, errkind.New(errkind.BadInput, "If-Match must name the version built on"))
		return
	}
	f.take(w, &Order{Kind: kind, Base: base, Body: b})
}

func (f *Foreman) evacuate(w http.ResponseWriter, seg, kind string) {
	z, err := url.PathUnescape(seg)
	if err != nil || z == "" {
		httpreply.Fault(w, errkind.New(errkind.BadInput, "no locality"))
		return
	}
	f.take(w, &Order{Kind: kind, Locality: z})
}

func (f *Foreman) take(w http.ResponseWriter, o *Order) {
	if err := f.o.Take(f.sc, o); err != nil {
		f.sc.Log().Info("order not taken", "kind", o.Kind, "base", o.Base, "err", err.Error())
		httpreply.Fault(w, err)
		return
	}
	httpreply.JSON(w, http.StatusOK, map[string]bool{"ok": true})
}
