package frontend

import (
	"log"
	"log/slog"

	"shaletrestle/scope"
)

// quiet sends net/http's own lines to the debug level: a broken client is no event of ours.
func quiet(sc *scope.Scope) *log.Logger {
	return slog.NewLogLogger(sc.Log().Handler(), slog.LevelDebug)
}
