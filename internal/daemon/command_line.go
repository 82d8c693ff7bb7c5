package daemon

import (
	"errors"
	"log/slog"
	"os"

	"github.com/integrii/flaggy"

	"shaletrestle/internal/settings"
	"shaletrestle/internal/version"
)

// Values of --long-work.
const (
	longWorkOn     = "on"
	longWorkOff    = "off"
	longWorkAlways = "always"
)

// maxPort is the highest port number.
const maxPort = 65535

// Options that are rejected.
var (
	errLogLevel    = errors.New("--log-level takes debug, info, warn or error")
	errMetricsPort = errors.New("--metrics-port takes a port")
)

// options are what the command line asks for.
type options struct {
	roles     settings.Roles
	logLevel  slog.Level
	longWork  string // one of the values of --long-work; empty: as the settings say
	metrics   int    // --metrics-port; 0: as the settings say
	checkOnly bool   // check-env: nothing is started
	file      string // of the settings
}

// parseOptions reads the command line.
func parseOptions(program Program) (*options, error) {
	parsed := &options{roles: program.Roles}
	parser := flaggy.NewParser(program.Name)
	parser.Description = program.Description + " Settings are read from the file that " + FileVariable + " names."
	parser.Version = version.Number
	parser.ShowHelpOnUnexpected = true
	level := "info"
	parser.String(&level, "l", "log-level", "debug, info, warn or error")
	if program.Roles.Frontend {
		parser.String(&parsed.longWork, "", "long-work", "on, off or always, whatever long_work says in the settings")
	}
	parser.Int(&parsed.metrics, "", "metrics-port", "port at which the metrics alone are served, whatever metrics_port says in the settings")
	check := flaggy.NewSubcommand("check-env")
	check.Description = "Check a settings file without starting."
	check.AddPositionalValue(&parsed.file, "file", 1, false, "the file; that of "+FileVariable+" if none is named")
	parser.AttachSubcommand(check, 1)
	if err := parser.Parse(); err != nil {
		return nil, err
	}
	if err := parsed.logLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, errLogLevel
	}
	if parsed.metrics < 0 || parsed.metrics > maxPort {
		return nil, errMetricsPort
	}
	if parsed.file == "" {
		parsed.file = os.Getenv(FileVariable)
	}
	parsed.checkOnly = check.Used
	return parsed, nil
}

func validLongWork(value string) bool {
	switch value {
	case "", longWorkOn, longWorkOff, longWorkAlways:
		return true
	}
	return false
}

// load reads the settings file and applies what the command line overrides.
func (o *options) load() (*settings.Settings, error) {
	env, err := settings.LoadFile(o.file, o.roles)
	if err != nil {
		return nil, err
	}
	if o.longWork != "" {
		env.LongWork.Enabled = o.longWork != longWorkOff
		env.LongWork.Always = o.longWork == longWorkAlways
	}
	if o.metrics != 0 {
		env.MetricsPort = o.metrics
	}
	return env, nil
}
