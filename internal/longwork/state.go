package longwork

import (
	"time"
)

// State is the section on long work of the state page. The fields are in the order of their names there.
type State struct {
	AcceptedNow  int                   `json:"accepted_now"`
	Broken       int64                 `json:"broken"`
	ElsewhereNow int                   `json:"elsewhere_now"`
	Enabled      bool                  `json:"enabled"`
	Held         int                   `json:"held"`
	LateMs       int64                 `json:"late_ms"`
	Lost         int64                 `json:"lost"`
	Offered      int64                 `json:"offered"`
	OfferedNow   int                   `json:"offered_now"`
	OldestMs     int64                 `json:"oldest_ms"`
	Refused      int64                 `json:"refused"`
	Returned     int64                 `json:"returned"`
	RunElsewhere int64                 `json:"run_elsewhere"`
	RunHere      int64                 `json:"run_here"`
	Services     map[string]QueueState `json:"services"`
	Taken        int64                 `json:"taken"`
	TakenNow     int                   `json:"taken_now"`
}

// QueueState is the long work of one service on the state page.
type QueueState struct {
	Idle    bool    `json:"idle"`
	Room    float64 `json:"room"`
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
}

// State returns the section of the state page.
func (c *Coordinator) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, offered, elsewhere := c.owner.Jobs()
	accepted, running := c.taker.Jobs()
	counters := c.counters
	return State{
		AcceptedNow:  accepted,
		Broken:       counters.indeterminate,
		ElsewhereNow: elsewhere,
		Enabled:      c.Enabled(),
		Held:         held,
		LateMs:       c.timerLag.Load().Milliseconds(),
		Lost:         counters.lost,
		Offered:      counters.offered,
		OfferedNow:   offered,
		OldestMs:     c.oldest().Milliseconds(),
		Refused:      counters.rejected,
		Returned:     counters.returned,
		RunElsewhere: counters.elsewhere,
		RunHere:      counters.here,
		Services:     c.queueStates(),
		Taken:        counters.taken,
		TakenNow:     running,
	}
}

// oldest is the age of the oldest request that is long work; the caller holds the lock.
func (c *Coordinator) oldest() time.Duration {
	oldest := time.Duration(0)
	for work := range c.open {
		oldest = max(oldest, time.Since(work.request.ArrivedAt))
	}
	return oldest
}

func (c *Coordinator) queueStates() map[string]QueueState {
	states := map[string]QueueState{}
	for service, queue := range c.queues {
		running, waiting, room := queue.admission.Stats()
		states[service] = QueueState{
			Idle:    queue.idle(),
			Room:    room,
			Running: running,
			Waiting: waiting,
		}
	}
	return states
}
