package fairshare

// CalmFraction is the usual threshold of Shares: the fraction of a resource in use below which no user is limited to a
// share.
const CalmFraction = 0.5
