package frontend

import (
	"log"
	"log/slog"
)

// quiet sends net/http's own lines to the debug level: a broken client is no event of ours.
func quiet(logger *slog.Logger) *log.Logger {
	return slog.NewLogLogger(logger.Handler(), slog.LevelDebug)
}
