package router

import (
	"shaletrestle/coord/distribution"
	"shaletrestle/coord/fairshare"
	"shaletrestle/coord/rpc"
)

// controllerLender borrows retries from the controller that this process follows.
type controllerLender struct {
	follower *distribution.Follower
}

// Lend asks the controller. An answer that exceeds what was asked for counts as none.
func (l controllerLender) Lend(service string) int64 {
	ask := &rpc.Message{Kind: rpc.Loan, Text: service, Number: fairshare.LoanRetries}
	answer, err := l.follower.Call(ask, fairshare.LoanTimeout)
	if err != nil || !answer.OK || answer.Number > fairshare.LoanRetries {
		return 0
	}
	return int64(answer.Number)
}
