//go:build cgo

// Package hangup has SIGHUP ignored from the first moment of a process, until the program registers for it.
//
// The platform sends SIGHUP when the settings file has changed, whenever that is; by default the signal ends a process. A
// program that is just being started has not read its settings yet and loses nothing by ignoring it, but its runtime and its
// packages are initialised before any code of its own could register for a signal. A constructor of the C library's runs
// before them, and Go's runtime leaves SIGHUP alone if it finds it ignored. os/signal.Notify puts that to an end.
//
// It is imported for its effect. Without cgo the package is empty.
package hangup

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
