package simtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// tallyPath is the path of tallies, before a tally's name.
const tallyPath = "/v1/tallies/"

// tallyPollInterval is the time between two reads that wait for a total.
const tallyPollInterval = 50 * time.Millisecond

// tallyCommands are those of applications.
var tallyCommands = map[string]command{
	// tallies: controllers that start from now on keep tallies
	"tallies": {func(s *Script, _ args) error { s.sim.extraSettings += "contracts: [base, apart]\n"; return nil }, ""},
	// tally t1 id=x amount=4 at=controller-1 expect=200
	"tally": {addToTally, "id amount at expect"},
	// total t1 at=controller-1,controller-2 is=9 within=3s: each reads so much, at the latest then
	"total": {readTotal, "at is within"},
	// no_total t1 at=controller-1: it answers 503
	"no_total": {readNoTotal, "at"},
}

func addToTally(s *Script, a args) error {
	body := fmt.Sprintf(`{"replica_id":%q,"actor":%d}`, a.options["id"], a.number("amount", 1))
	status, _ := s.sim.sendOnce(a.options["at"], order{method: http.MethodPost, path: tallyPath + a.argument(0), body: body})
	return a.checkStatus(status)
}

func (s *Script) total(node, name string) (status int, total uint64) {
	status, answer := s.sim.sendOnce(node, order{method: http.MethodGet, path: tallyPath + name})
	var page struct {
		Total uint64 `json:"total"`
	}
	if json.Unmarshal([]byte(answer), &page) != nil {
		return 0, 0
	}
	return status, page.Total
}

func readTotal(s *Script, a args) error {
	for _, node := range a.list("at") {
		err := pollUntil(a.duration("within", 0), tallyPollInterval, func() error {
			status, total := s.total(node, a.argument(0))
			if status != http.StatusOK || total != uint64(a.number("is", 0)) {
				return fmt.Errorf("%s answers %d, total %d", node, status, total)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func readNoTotal(s *Script, a args) error {
	for _, node := range a.list("at") {
		if status, total := s.total(node, a.argument(0)); status != http.StatusServiceUnavailable {
			return fmt.Errorf("%s answers %d, total %d", node, status, total)
		}
	}
	return nil
}
