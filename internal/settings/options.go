package settings

import (
	"errors"
	"log/slog"
	"os"

	"shaletrestle/internal/version"

	"github.com/integrii/flaggy"
)

// Values of --long-work.
const (
	longWorkOn     = "on"
	longWorkOff    = "off"
	longWorkAlways = "always"
)

// options are what the command line asks for.
type options struct {
	need      Need
	logLevel  slog.Level
	longWork  string // empty: as the settings say
	checkOnly bool
	file      string // of the settings
}

// parseOptions reads the command line.
func parseOptions(name, description string, need Need) (*options, error) {
	parsed := &options{need: need}
	parser := flaggy.NewParser(name)
	parser.Description = description + " Settings are read from the file that " + FileVariable + " names."
	parser.Version = version.Number
	parser.ShowHelpOnUnexpected = true
	level := "info"
	parser.String(&level, "l", "log-level", "debug, info, warn or error")
	if need.Front {
		parser.String(&parsed.longWork, "", "long-work", "on, off or always, whatever long_work says in the settings")
	}
	check := flaggy.NewSubcommand("check-env")
	check.Description = "Check a settings file without starting."
	check.AddPositionalValue(&parsed.file, "file", 1, false, "the file; that of "+FileVariable+" if none is named")
	parser.AttachSubcommand(check, 1)
	if err := parser.Parse(); err != nil {
		return nil, err
	}
	if err := parsed.logLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.New("--log-level takes debug, info, warn or error")
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
func (o *options) load() (*Settings, error) {
	env, err := LoadFile(o.file, o.need)
	if err != nil {
		return env, err
	}
	if o.longWork != "" {
		env.LongWork.Enabled = o.longWork != longWorkOff
		env.LongWork.Always = o.longWork == longWorkAlways
	}
	return env, nil
}
