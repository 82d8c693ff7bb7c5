// Package configcheck checks a configuration against the rules of validity (package config) and against the current
// state of the fleet, for people and programs that are about to send it. It changes nothing and keeps no state.
package configcheck
