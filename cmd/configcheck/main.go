// Command configcheck checks a configuration file, by itself or against the fleet as it is.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"shaletrestle/internal/calendar"
	"shaletrestle/internal/configcheck"
	"shaletrestle/internal/state"
	"shaletrestle/internal/version"
)

// Exit codes.
const (
	exitOK       = 0
	exitProblems = 1
	exitNoCheck  = 2
)

// defaultTimeout bounds the wait for the fleet unless --wait says otherwise.
const defaultTimeout = 3 * time.Second

// options are what the command line asks for.
type options struct {
	file         string // the configuration
	fleet        string // state page of a controller, host and port; empty: none is asked
	timeout      time.Duration
	asJSON       bool
	calendarFile string
	zones        []string // whose maintenance windows count
}

func main() { os.Exit(run()) }

func run() int {
	options, err := parseOptions()
	if err != nil {
		return failed(err)
	}
	body, err := os.ReadFile(options.file)
	if err != nil {
		return failed(fmt.Errorf("the configuration can't be read: %w", err))
	}
	var view *state.View
	if options.fleet != "" {
		if view, err = configcheck.FetchView(options.fleet, options.timeout, nil); err != nil {
			return failed(err)
		}
	}
	report := configcheck.Check(body, view, openWindows(options.calendarFile, options.zones))
	if err := report.Write(os.Stdout, options.asJSON); err != nil {
		return exitNoCheck
	}
	if report.HasProblems() {
		return exitProblems
	}
	return exitOK
}

func failed(err error) int {
	fmt.Fprintln(os.Stderr, "configcheck:", err)
	return exitNoCheck
}

func parseOptions() (*options, error) {
	parsed := &options{timeout: defaultTimeout}
	parser := flaggy.NewParser("configcheck")
	parser.Description = "Checks a configuration file. Exit code 0: fine, 1: findings, 2: could not check."
	parser.Version = version.Number
	parser.AddPositionalValue(&parsed.file, "file", 1, true, "the configuration, as for PUT /v1/config")
	parser.String(&parsed.fleet, "f", "fleet", "state page of a controller (address:port); without it validity alone is checked")
	parser.Duration(&parsed.timeout, "w", "wait", "how long to wait for the fleet")
	parser.Bool(&parsed.asJSON, "j", "json", "print JSON")
	parser.String(&parsed.calendarFile, "c", "calendar", "iCalendar file of maintenance windows")
	parser.StringSlice(&parsed.zones, "z", "zone", "zone whose windows count; may be given more than once")
	if err := parser.Parse(); err != nil {
		return nil, err
	}
	return parsed, nil
}

// openWindows reads the windows that are open now; a broken calendar is reported and left out.
func openWindows(file string, zones []string) []calendar.Window {
	if file == "" {
		return nil
	}
	known := map[string]string{}
	for _, zone := range zones {
		known[zone] = zone
	}
	windows, err := calendar.Read(file, known)
	if err != nil {
		fmt.Fprintln(os.Stderr, "configcheck: calendar ignored:", err)
		return nil
	}
	return calendar.OpenAt(windows, time.Now())
}
