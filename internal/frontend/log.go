package frontend

import (
	"log"
	"log/slog"

	"shaletrestle/internal/task"
)

// quiet sends net/http's own lines to the debug level: a broken client is no event of ours.
func quiet(sc *task.Scope) *log.Logger {
	return slog.NewLogLogger(sc.Log().Handler(), slog.LevelDebug)
}
