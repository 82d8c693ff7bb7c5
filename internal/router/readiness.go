package router

import (
	"net/http"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
)

// acceptsConnections reports whether the platform may send new connections here.
func (r *Router) acceptsConnections() bool {
	own := r.listeners.Load()
	return own != nil && own.reachable() && r.ready.Load() && !r.draining.Load() && !r.machine.ShouldRefuseNew()
}

// closesConnections reports whether clients should take their open connections elsewhere.
func (r *Router) closesConnections() bool { return r.draining.Load() || r.machine.ShouldShed() }

// serveReadiness answers the platform's readiness checks.
func (r *Router) serveReadiness(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet && request.URL.Path == "/v1/readiness" {
		if r.acceptsConnections() {
			httpreply.JSON(writer, http.StatusOK, map[string]bool{"ready": true})
		} else {
			httpreply.JSON(writer, http.StatusServiceUnavailable, map[string]bool{"ready": false})
		}
		return
	}
	httpreply.Error(writer, errkind.New(errkind.NoRoute, "no such call"))
}
