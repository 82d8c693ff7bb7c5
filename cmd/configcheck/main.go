// Command configcheck checks a configuration file, by itself or against the fleet as it is.
package main

import (
	"fmt"
	"os"
	"time"

	"shaletrestle/internal/version"

	"github.com/integrii/flaggy"

	"shaletrestle/internal/calendar"
	"shaletrestle/internal/configcheck"
	"shaletrestle/internal/state"
)

// Exit codes.
const (
	fine     = 0
	findings = 1
	noCheck  = 2
)

func main() { os.Exit(run()) }

func run() int {
	p := flaggy.NewParser("configcheck")
	p.Description = "Checks a configuration file. Exit code 0: fine, 1: findings, 2: could not check."
	p.Version = version.Number
	var file, fleet, cal string
	var zones []string
	asJSON, wait := false, 3*time.Second
	p.AddPositionalValue(&file, "file", 1, true, "the configuration, as for PUT /v1/config")
	p.String(&fleet, "f", "fleet", "state page of a controller (address:port); without it validity alone is checked")
	p.Duration(&wait, "w", "wait", "how long to wait for the fleet")
	p.Bool(&asJSON, "j", "json", "print JSON")
	p.String(&cal, "c", "calendar", "iCalendar file of maintenance windows")
	p.StringSlice(&zones, "z", "zone", "zone whose windows count; may be given more than once")
	if err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "configcheck:", err)
		return noCheck
	}
	b, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "configcheck: the configuration can't be read:", err)
		return noCheck
	}
	var v *state.View
	if fleet != "" {
		if v, err = configcheck.FetchView(fleet, wait, nil); err != nil {
			fmt.Fprintln(os.Stderr, "configcheck:", err)
			return noCheck
		}
	}
	r := configcheck.Check(b, v, windows(cal, zones))
	if err := r.Write(os.Stdout, asJSON); err != nil {
		return noCheck
	}
	if r.HasProblems() {
		return findings
	}
	return fine
}

// windows reads the calendar; a broken one is reported and left out.
func windows(file string, zones []string) []calendar.Window {
	if file == "" {
		return nil
	}
	known := map[string]string{}
	for _, z := range zones {
		known[z] = z
	}
	ws, err := calendar.Read(file, known)
	if err != nil {
		fmt.Fprintln(os.Stderr, "configcheck: left out:", err)
		return nil
	}
	return calendar.OpenAt(ws, time.Now())
}
