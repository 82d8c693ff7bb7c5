package controller

import (
	"time"

	"shaletrestle/coord/fairshare"
	"shaletrestle/coord/rpc"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/retrybudget"
	"shaletrestle/internal/settings"
)

// newLender makes the lender of the part of the fleet's retry budget that no router has as its own.
func newLender(env *settings.Settings) *fairshare.Lender {
	lent := retrybudget.Margin * retrybudget.LentFraction * env.Bounds.BudgetSlack
	window := durations.FromSeconds(env.Bounds.BudgetWindowS) + retrybudget.LoanLifetime
	return fairshare.NewLender(int64(lent), window)
}

// handleLoan answers a request for a loan: Number retries out of the common part of the budget of the service that Text
// names. Only the holder of the list lease lends, of which there is one at a time; other members forward the request to
// it. The reply has OK if this loan was decided on, and in Number what was lent, which may be 0. A message that is no
// call has nobody to lend to: nil.
func (c *Controller) handleLoan(message *rpc.Message) *rpc.Message {
	if message.Call == 0 {
		return nil
	}
	if !c.IsActivePrimary() {
		return c.forwardLoan(message)
	}
	since, held := c.listLease.HeldSince()
	if !held {
		return message.Reply(false)
	}
	wanted := int64(min(message.Number, retrybudget.LoanRetries))
	lent := c.lender.Lend(message.Text, wanted, since, time.Now())
	if !c.listLease.Held() { // the process may have been suspended in between, past the lease's end
		return message.Reply(false)
	}
	reply := message.Reply(true)
	reply.Number = uint64(lent)
	return reply
}

// forwardLoan asks the primary. A request that was forwarded already (OK) is not forwarded again.
func (c *Controller) forwardLoan(message *rpc.Message) *rpc.Message {
	primary, known := c.member.Primary()
	if !known || message.OK || primary.ID == c.member.Self().ID {
		return message.Reply(false)
	}
	forwarded := &rpc.Message{Kind: rpc.Loan, OK: true, Text: message.Text, Number: message.Number}
	reply, err := c.pool.Call(primary.Address, forwarded, retrybudget.LoanTimeout)
	if err != nil {
		return message.Reply(false)
	}
	return reply
}
