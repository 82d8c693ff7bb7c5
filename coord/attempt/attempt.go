package attempt

// State is what is known of one send of a call.
type State uint8

// The states. They only go forward: NotSent, PartlySent (which may be skipped), Sent, and then one of the last two.
const (
	NotSent     State = iota // not one byte of the call can have left
	PartlySent               // some of its bytes may have left, the rest never will
	Sent                     // all of it was handed to the network, and no complete answer has come
	NotExecuted              // the receiver promised, in a complete answer, that it has not run the call and never will
	Answered                 // the receiver gave a complete answer that is no such promise
)

var stateNames = [...]string{"not sent", "partly sent", "sent", "not executed", "answered"}

// String names the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// MayHaveRun reports whether the receiver may have run the call, now or later.
func (s State) MayHaveRun() bool {
	return s == PartlySent || s == Sent || s == Answered
}

// follows reports whether the state may come after another one. Only a call that was sent completely can be answered, so
// that a promise never excuses a send that broke off.
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

// History sums up the sends of one attempt of a caller. Its zero value is an attempt that was sent nowhere. It is not safe
// for concurrent use.
type History struct {
	current     State
	earlierRuns bool // a send before the current one may have run
	sends       int  // of which a byte may have left
}

// BeginSend starts another send, which is NotSent. What is known of the one before it stays counted.
func (h *History) BeginSend() {
	h.earlierRuns = h.MayHaveRun()
	h.current = NotSent
}

// Advance brings the current send to a state. A state that can't follow the present one is ignored: what may have run
// stays so.
func (h *History) Advance(to State) {
	if !to.follows(h.current) {
		return
	}
	if h.current == NotSent {
		h.sends++
	}
	h.current = to
}

// AddRemote adds the sends that another process made for this attempt, and whether any of them may have run.
func (h *History) AddRemote(sends int, mayHaveRun bool) {
	h.sends += max(0, sends)
	h.earlierRuns = h.earlierRuns || mayHaveRun
}

// Sends counts the sends of which a byte may have left.
func (h *History) Sends() int { return h.sends }

// Current is the state of the newest send.
func (h *History) Current() State { return h.current }

// MayHaveRun reports whether any send may have run.
func (h *History) MayHaveRun() bool { return h.earlierRuns || h.current.MayHaveRun() }

// MayRetry reports whether the call may be sent once more: never beyond the limit, in sends, and if it is not idempotent
// only while no send may have run.
func (h *History) MayRetry(idempotent bool, limit int) bool {
	if h.sends >= limit {
		return false
	}
	return idempotent || !h.MayHaveRun()
}
