package adminapi

import (
	"io"
	"net/http"
	"sync"
	"time"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
)

const (
	takeoverPollInterval = 20 * time.Millisecond // between two looks for a new primary
	// takeoverTimeout is how long after the loss of a primary was noticed a takeover that succeeds has ended.
	takeoverTimeout = 1500 * time.Millisecond
	// takeoverReserve is what a call needs of its time once there is a primary again.
	takeoverReserve = 200 * time.Millisecond
)

// primaryLoss remembers since when calls find no primary.
type primaryLoss struct {
	mu    sync.Mutex
	since time.Time // zero while there is a primary; guarded by mu
}

func (l *primaryLoss) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since = time.Time{}
}

// lasted gives for how long no primary has been known; the first call after clear begins the loss.
func (l *primaryLoss) lasted(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() {
		l.since = now
	}
	return now.Sub(l.since)
}

// onPrimary makes a handler that answers a call here if this process is primary, points to the primary if another is, and
// says so if none is known. While a takeover may be under way it waits a little for its end.
func (s *server) onPrimary(answer handler) handler {
	return func(c *call, segment string) { s.answerOnPrimary(c, segment, answer) }
}

func (s *server) answerOnPrimary(c *call, segment string, answer handler) {
	for {
		address, here := s.control.Primary()
		if here || address != "" {
			s.primaryLoss.clear()
		}
		if here {
			answer(c, segment)
			return
		}
		if address != "" {
			c.discardBody()
			redirect(c, address)
			return
		}
		if !s.mayAwaitTakeover(c) || !wait.Sleep(s.ctx, takeoverPollInterval) {
			c.discardBody()
			httpreply.Error(c.writer, errNoPrimary)
			return
		}
	}
}

// discardBody reads what the caller is still sending before it is answered: net/http would close the connection under a
// large body, and the reset could overtake the answer. It is bounded in size and time.
func (c *call) discardBody() {
	c.boundBody()
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(c.writer, c.request.Body, MaxConfigurationBytes))
}

// boundBody bounds the time that the caller may take over its body from now on.
func (c *call) boundBody() {
	_ = http.NewResponseController(c.writer).SetReadDeadline(time.Now().Add(bodyTimeout))
}

// mayAwaitTakeover reports whether the primary was lost so recently that a takeover may be under way, and the caller
// still has the time to wait for it. A member that has been cut off for longer answers at once, so that the caller asks
// another one, which may know more.
func (s *server) mayAwaitTakeover(c *call) bool {
	now := time.Now()
	lost := s.primaryLoss.lasted(now)
	callerGone := c.request.Context().Err() != nil
	left := c.deadline.Sub(now)
	return !callerGone && lost < takeoverTimeout && left > takeoverReserve
}

func redirect(c *call, address string) {
	c.writer.Header().Set("Location", "http://"+address+c.request.URL.RequestURI())
	httpreply.JSON(c.writer, errkind.NotPrimary.Status(), map[string]string{"error": errkind.NotPrimary.Text()})
}

// replyError answers an error. A member that is no longer primary points to the new one, if it knows it.
func (s *server) replyError(c *call, err error) {
	if errkind.KindOf(err) != errkind.NotPrimary {
		httpreply.Error(c.writer, err)
		return
	}
	address, here := s.control.Primary()
	if here || address == "" { // a redirect to this member would lead back here
		httpreply.Error(c.writer, errNoPrimary)
		return
	}
	redirect(c, address)
}
