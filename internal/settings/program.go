package settings

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/task"
)

// Daemon is what a program does with its settings.
type Daemon interface {
	Run() error
	Leave()
	Reload(*Env)
}

// Main is the command line that the daemons share.
func Main(name, what string, n Need, build func(*task.Scope, *Env) (Daemon, error)) {
	os.Exit(run(name, what, n, build))
}

func run(name, what string, n Need, build func(*task.Scope, *Env) (Daemon, error)) int {
	p := flaggy.NewParser(name)
	p.Description = what + " Settings are read from the file that " + constants.EnvVar + " names."
	p.Version = constants.Version
	p.ShowHelpOnUnexpected = true
	level := "info"
	p.String(&level, "l", "log-level", "debug, info, warn or error")
	long := ""
	if n.Front {
		p.String(&long, "", "long-work", "on, off or always, whatever long_work says in the settings")
	}
	check := flaggy.NewSubcommand("check-env")
	check.Description = "Check a settings file without starting."
	file := ""
	check.AddPositionalValue(&file, "file", 1, false, "the file; that of "+constants.EnvVar+" if none is named")
	p.AttachSubcommand(check, 1)
	if err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		return 2
	}
	var lv slog.Level
	if err := lv.UnmarshalText([]byte(level)); err != nil {
		fmt.Fprintln(os.Stderr, name+": --log-level takes debug, info, warn or error")
		return 2
	}
	if file == "" {
		file = os.Getenv(constants.EnvVar)
	}
	if file == "" {
		fmt.Fprintf(os.Stderr, "%s: %s is not set\n", name, constants.EnvVar)
		return 1
	}
	if long != "" && long != "on" && long != "off" && long != "always" {
		fmt.Fprintln(os.Stderr, name+": --long-work takes on, off or always")
		return 2
	}
	load := func() (*Env, error) {
		e, err := LoadFile(file, n)
		if err == nil && long != "" {
			e.LongWork.Enabled, e.LongWork.Always = long != "off", long == "always"
		}
		return e, err
	}
	e, err := load()
	if err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		return 1
	}
	if check.Used {
		fmt.Println("the settings are fine")
		return 0
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: lv}))
	sc := task.New(log.With("program", name))
	debug.SetMemoryLimit(int64(e.Limits.MemoryMB * (1 << 20) * constants.SoftMemory))
	debug.SetGCPercent(constants.CollectAt)
	d, err := build(sc, e)
	if err != nil {
		log.Error("can't start", "part", name, "err", err.Error())
		return 1
	}
	go hearSignals(sc, d, file, load)
	if err := d.Run(); err != nil {
		log.Error("ended", "part", name, "err", err.Error())
		return 1
	}
	return 0
}

func hearSignals(sc *task.Scope, d Daemon, file string, load func() (*Env, error)) {
	c := make(chan os.Signal, 4)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	log := sc.Part("settings").Log()
	last := stamp(file)
	reload := func() {
		last = stamp(file)
		e, err := load()
		if err != nil {
			log.Error("settings kept as they were", "err", err.Error())
			return
		}
		log.Info("settings read again")
		d.Reload(e)
	}
	for {
		select {
		case s := <-c:
			if s == syscall.SIGHUP {
				reload()
				continue
			}
			log.Info("leaving")
			d.Leave()
			sc.Stop()
			return
		case <-clock.After(constants.WatchFile):
			if stamp(file) != last {
				reload()
			}
		case <-sc.Done():
			return
		}
	}
}

func stamp(file string) string {
	i, err := os.Stat(file)
	if err != nil {
		return "none"
	}
	return fmt.Sprint(i.Size(), i.ModTime().UnixNano())
}
