package router

import (
	"time"
)

// longWorkState is the section on long work of the state page. The fields are in
// the order of their names on the page.
type longWorkState struct {
	AcceptedNow  int                       `json:"accepted_now"`
	Broken       int64                     `json:"broken"`
	ElsewhereNow int                       `json:"elsewhere_now"`
	Enabled      bool                      `json:"enabled"`
	Held         int                       `json:"held"`
	LateMs       int64                     `json:"late_ms"`
	Lost         int64                     `json:"lost"`
	Offered      int64                     `json:"offered"`
	OfferedNow   int                       `json:"offered_now"`
	OldestMs     int64                     `json:"oldest_ms"`
	Refused      int64                     `json:"refused"`
	Returned     int64                     `json:"returned"`
	RunElsewhere int64                     `json:"run_elsewhere"`
	RunHere      int64                     `json:"run_here"`
	Services     map[string]longQueueState `json:"services"`
	Taken        int64                     `json:"taken"`
	TakenNow     int                       `json:"taken_now"`
}

// longQueueState is the long work of one service.
type longQueueState struct {
	Idle    bool    `json:"idle"`
	Room    float64 `json:"room"`
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
}

// state gives the section of the state page.
func (l *longWork) state() longWorkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, offered, elsewhere := l.owner.Jobs()
	accepted, running := l.taker.Jobs()
	counters := l.counters
	return longWorkState{
		AcceptedNow:  accepted,
		Broken:       counters.broken,
		ElsewhereNow: elsewhere,
		Enabled:      l.enabled(),
		Held:         held,
		LateMs:       l.timerLag.Load().Milliseconds(),
		Lost:         counters.lost,
		Offered:      counters.offered,
		OfferedNow:   offered,
		OldestMs:     l.oldest().Milliseconds(),
		Refused:      counters.refused,
		Returned:     counters.returned,
		RunElsewhere: counters.elsewhere,
		RunHere:      counters.here,
		Services:     l.queueStates(),
		Taken:        counters.taken,
		TakenNow:     running,
	}
}

// oldest is the age of the oldest request that is long work.
func (l *longWork) oldest() time.Duration {
	oldest := time.Duration(0)
	for request := range l.open {
		oldest = max(oldest, time.Since(request.arrived))
	}
	return oldest
}

func (l *longWork) queueStates() map[string]longQueueState {
	states := map[string]longQueueState{}
	for service, queue := range l.queues {
		running, waiting, room := queue.admission.Stats()
		states[service] = longQueueState{
			Idle:    queue.idle(),
			Room:    room,
			Running: running,
			Waiting: waiting,
		}
	}
	return states
}
