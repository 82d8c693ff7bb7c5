package metrics

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"

	"shaletrestle/coord/rpc"
	"shaletrestle/internal/listen"
	"shaletrestle/internal/settings"
)

// ServePort serves a handler of metrics under [Path] at the port of its own that the settings name, until the context ends;
// it does nothing if they name none. A port that is taken is waited for, and one that can never be had is logged: nobody is
// served less for it. Callers call it after they have taken the ports that they need.
func ServePort(ctx context.Context, log *slog.Logger, network rpc.Net, env *settings.Settings, handler http.HandlerFunc) {
	if env.MetricsPort == 0 {
		return
	}
	listener, err := listen.Open(ctx, log, network, "metrics", net.JoinHostPort(env.IP, strconv.Itoa(env.MetricsPort)))
	if err != nil {
		log.Warn("metrics port not served", "port", env.MetricsPort, "error", err.Error())
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: settings.HeaderTimeout, IdleTimeout: settings.IdleTimeout}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}
