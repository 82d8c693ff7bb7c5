// Package attempt keeps what is known of a call that may be allowed to run only once: the state of each
// sending of it, and the sum over all sendings of one try. Whoever sends, repeats or hands over such a
// call asks this package and nothing else whether the call may have run.
package attempt

// State is what is known of one sending of a call.
type State uint8

// The states. They only go forward: NotSent, PartlySent, Sent, and then one of the last two.
const (
	NotSent     State = iota // not one byte of the call can have left
	PartlySent               // some of its bytes may have left, the rest never will
	Sent                     // all of it was handed to the network, and no whole answer has come
	NotExecuted              // the receiver promised, in a whole answer, that it has not run the call and never will
	Answered                 // the receiver gave a whole answer that is no such promise
)

var stateNames = [...]string{"not sent", "partly sent", "sent", "not executed", "answered"}

// String names the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// MayHaveRun tells whether the receiver may have run the call, now or later.
func (s State) MayHaveRun() bool {
	return s == PartlySent || s == Sent || s == Answered
}

// follows tells whether the state may come after another one. Only a call that was sent whole can be
// answered, so a promise never excuses a sending that broke off.
func (s State) follows(before State) bool {
	switch before {
	case NotSent:
		return s == PartlySent || s == Sent
	case PartlySent:
		return s == Sent
	case Sent:
		return s == NotExecuted || s == Answered
	default:
		return false
	}
}

// History sums up the sendings of one try of a caller. Its zero value is a try that was sent nowhere.
type History struct {
	current     State
	earlierRuns bool // a sending before the current one may have run
	sent        int  // sendings of which a byte left
}

// BeginSend starts another sending.
func (t *History) BeginSend() {
	t.earlierRuns = t.MayHaveRun()
	t.current = NotSent
}

// Advance brings the current sending to a state. A state that can't follow the present one is not taken
// over: what may have run stays so.
func (t *History) Advance(to State) {
	if !to.follows(t.current) {
		return
	}
	if t.current == NotSent {
		t.sent++
	}
	t.current = to
}

// AddRemote adds the sendings that another process made for this try.
func (t *History) AddRemote(sent int, mayHaveRun bool) {
	t.sent += max(0, sent)
	t.earlierRuns = t.earlierRuns || mayHaveRun
}

// Sends counts the sendings of which a byte may have left.
func (t *History) Sends() int { return t.sent }

// Current is the state of the newest sending.
func (t *History) Current() State { return t.current }

// MayHaveRun tells whether any sending may have run.
func (t *History) MayHaveRun() bool { return t.earlierRuns || t.current.MayHaveRun() }

// MayRetry tells whether the call may be sent once more: never beyond the limit, and if it is not
// repeatable only while no sending may have run.
func (t *History) MayRetry(repeatable bool, limit int) bool {
	if t.sent >= limit {
		return false
	}
	return repeatable || !t.MayHaveRun()
}
