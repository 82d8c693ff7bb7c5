// Package daemon is what the long-running programs share: the command line, the settings file and its reload, the
// limits on memory, and the way to the end.
//
// A program gets SIGTERM or SIGINT: it hands over what it has ([Daemon.Shutdown]), then its context ends. On SIGHUP,
// and when the settings file has changed, it gets the new settings ([Daemon.Reload]); settings that are invalid are
// logged and not applied. A program that starts waits for what it needs and may yet come: valid settings here, addresses and
// the data directory in the daemons. The package owns no state that lasts.
package daemon
