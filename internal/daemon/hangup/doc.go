//go:build !cgo

// Package hangup has SIGHUP ignored from the first moment of a process where cgo is to be had; here it is not.
package hangup
