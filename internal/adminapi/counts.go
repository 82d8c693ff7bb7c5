package adminapi

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
)

// CallCount is how often a call was answered with a status since the start of the process.
type CallCount struct {
	Call   string // method and path, without the names in it; "other" for calls that don't exist
	Status int
	Count  int64
}

// otherCall stands for all calls that don't exist: their names come from outside and must not become labels.
const otherCall = "other"

// callKey tells the counts apart.
type callKey struct {
	call   string
	status int
}

// callCounts counts answers. Its zero value is ready; it is safe for concurrent use.
type callCounts struct {
	mu     sync.Mutex
	counts map[callKey]int64 // guarded by mu
}

func (c *callCounts) add(call string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[callKey]int64{}
	}
	c.counts[callKey{call, status}]++
}

// list gives the counts in the order of call and status.
func (c *callCounts) list() []CallCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]CallCount, 0, len(c.counts))
	for key, count := range c.counts {
		list = append(list, CallCount{key.call, key.status, count})
	}
	slices.SortFunc(list, func(a, b CallCount) int {
		return cmp.Or(cmp.Compare(a.Call, b.Call), cmp.Compare(a.Status, b.Status))
	})
	return list
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int // 0: none yet
}

// WriteHeader sends a status.
func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives the writer below, for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
