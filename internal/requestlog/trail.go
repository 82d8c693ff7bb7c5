package requestlog

import (
	"time"

	"shaletrestle/coord/attempt"
)

// trailLength is how many attempts of a request are remembered; a request seldom makes more, and later ones are counted.
const trailLength = 8

// Trail is what is known of a request's attempts while it is served. Its zero value is a request without any. It is not
// safe for concurrent use.
type Trail struct {
	attempts [trailLength]trailAttempt
	count    int           // of all attempts, also of those not remembered
	waited   time.Duration // while no replica could be used
	cause    Cause
	detail   string
}

// trailAttempt is one attempt at one replica.
type trailAttempt struct {
	replica   string
	begun     time.Time
	connected time.Time // zero: there was no connection
	ended     time.Time // zero: it has not ended
	state     attempt.State
	status    int
	end       string
}

// Begin adds an attempt at a replica.
func (t *Trail) Begin(replica string) {
	t.count++
	if t.count <= trailLength {
		t.attempts[t.count-1] = trailAttempt{replica: replica, begun: time.Now()}
	}
}

// newest is the newest attempt; nil if there is none or it is not remembered.
func (t *Trail) newest() *trailAttempt {
	if t.count == 0 || t.count > trailLength {
		return nil
	}
	return &t.attempts[t.count-1]
}

// Connected records that the newest attempt has its connection.
func (t *Trail) Connected() {
	if newest := t.newest(); newest != nil {
		newest.connected = time.Now()
	}
}

// Answered records the status of the newest attempt's answer.
func (t *Trail) Answered(status int) {
	if newest := t.newest(); newest != nil {
		newest.status = status
	}
}

// End records how the newest attempt ended, in a few words. Only the first end counts.
func (t *Trail) End(state attempt.State, how string) {
	if newest := t.newest(); newest != nil && newest.ended.IsZero() {
		newest.ended, newest.state, newest.end = time.Now(), state, how
	}
}

// Waited adds time during which no replica could be used.
func (t *Trail) Waited(duration time.Duration) { t.waited += duration }

// Finish records why the request ended. Only the first cause counts.
func (t *Trail) Finish(cause Cause, detail string) {
	if t.cause == Unfinished {
		t.cause, t.detail = cause, detail
	}
}

// Cause is why the request ended; Unfinished if it has not.
func (t *Trail) Cause() Cause { return t.cause }
