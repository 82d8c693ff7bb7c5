package controller

import (
	"time"

	"shaletrestle/coord/fairshare"

	"shaletrestle/coord/rpc"
)

// lend gives further tries out of the common part of a service's budget. Only the holder of the list duty lends, of which there is one at a time; others ask it once.
func (c *Controller) lend(n *rpc.Message) *rpc.Message {
	if n.Call == 0 {
		return nil
	}
	if !c.IsActivePrimary() {
		s, ok := c.replica.Primary()
		if !ok || n.OK || s.ID == c.replica.Self().ID {
			return n.Reply(false)
		}
		a, err := c.lines.Call(s.Address, &rpc.Message{Kind: rpc.Loan, OK: true, Text: n.Text, Number: n.Number}, fairshare.LoanTimeout)
		if err != nil {
			return n.Reply(false)
		}
		return a
	}
	since, held := c.duty.HeldSince()
	if !held {
		return n.Reply(false)
	}
	lent := c.lender.Lend(n.Text, int64(min(n.Number, fairshare.LoanRetries)), since, time.Now())
	if !c.duty.Held() { // this process may have stood still in between
		return n.Reply(false)
	}
	a := n.Reply(true)
	a.Number = uint64(lent)
	return a
}
