// Package fairshare divides bounded resources: [Shares] one resource of this process among its users, [Lender] a budget
// that a fleet has in common among its nodes.
//
// Shares: while there is plenty, any user may take it; beyond a threshold no user gets more than a fair share, the
// capacity divided by one more than there are users, so that a heavy user leaves room for light and new ones.
//
// Lender: what is lent in any window never exceeds the budget, whether it is used, lost on its way or its borrower
// fails, and also when another process becomes the lender.
//
// Both keep their state in memory and are safe for concurrent use. A restart of Shares frees everything, which suits
// resources of the same process; a new Lender lends nothing until what its predecessor lent has expired.
package fairshare
