package router

import (
	"shaletrestle/coord/distribution"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/retrybudget"
)

// controllerLender borrows retries from the controller that this process follows.
type controllerLender struct {
	follower *distribution.Follower
}

// Lend asks the controller. An answer that exceeds what was asked for counts as none.
func (l controllerLender) Lend(service string) int64 {
	ask := &rpc.Message{Kind: rpc.Loan, Text: service, Number: retrybudget.LoanRetries}
	answer, err := l.follower.Call(ask, retrybudget.LoanTimeout)
	if err != nil || !answer.OK || answer.Number > retrybudget.LoanRetries {
		return 0
	}
	return int64(answer.Number)
}
