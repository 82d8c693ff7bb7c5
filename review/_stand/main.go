// Command review-stand holds the stand-ins and the scripts of the review: the clients, the operator, the platform and the
// replicas of one case, which start the project's programs as processes and judge what clients and replicas saw.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc plays a case and returns what broke the rule; empty if it held.
type caseFunc func(f *fleet, trouble bool) (broken string, err error)

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	f.logf("case %s, trouble %v", name, trouble)
	broken, err := cases[name](f, trouble)
	switch {
	case err != nil:
		f.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case broken != "":
		f.logf("BROKEN %s", broken)
		fmt.Println("BROKEN", broken)
		return exitBroken
	}
	f.logf("held")
	fmt.Println("held")
	return exitHeld
}
