// Package retrybudget bounds the retries of the fleet: in each window at most a part of the requests, plus a fixed slack,
// for each service.
//
// Each process keeps to a share of its own without asking anybody: the part of the requests that it saw itself, and its
// equal part of half the slack. When that is used up it borrows from the other half, which one controller lends out (see
// package fairshare). A [Budget] holds the counts in memory only; a process that restarts begins with an empty window.
package retrybudget
