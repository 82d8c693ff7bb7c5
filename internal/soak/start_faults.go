package soak

import (
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"shaletrestle/internal/settings"
)

const (
	hangupsInSeries     = 20
	hangupsFillingAPipe = 80 // about 100 bytes are logged for each
	hangupInterval      = time.Millisecond
	longestOverlap      = 500 * time.Millisecond // from a SIGTERM to the start of the next incarnation
	settingsTornFor     = 1500 * time.Millisecond
	tornPart            = 3 // a third of the file is there
)

// startFaults are the kinds that befall a process while it starts or ends, with their weights.
var startFaults = []fault{
	{name: "next incarnation starts while one drains", weight: 2, inject: (*faultInjector).overlapIncarnations},
	{name: "an address is held at the start", weight: 2, inject: (*faultInjector).holdAddress},
	{name: "SIGHUPs from the first moment", weight: 1, inject: (*faultInjector).hangups},
	{name: "log collector goes away", weight: 1, inject: (*faultInjector).loseCollector},
	{name: "log collector stands still", weight: 1, inject: (*faultInjector).stickCollector},
	{name: "settings half written at the start", weight: 1, inject: (*faultInjector).tearSettings},
	{name: "start on a full disk", weight: 1, inject: (*faultInjector).startOnFullDisk, wipes: true},
}

// anyProcess draws a process.
func (i *faultInjector) anyProcess() *process {
	all := i.run.fleet.all()
	return all[i.random.IntN(len(all))]
}

// overlapIncarnations starts the next incarnation a little after SIGTERM, as a supervisor may that does not wait.
func (i *faultInjector) overlapIncarnations() error {
	p := i.anyProcess()
	pause := time.Duration(i.random.Int64N(int64(longestOverlap)))
	return i.on(p, "terminated, and started before it has ended", func() error {
		before := p.running()
		if before == nil {
			return nil
		}
		begun := time.Now()
		p.signalLife(before, syscall.SIGTERM)
		time.Sleep(pause)
		if err := i.run.start(p); err != nil {
			return err
		}
		if !p.awaitEnd(before, graceSeconds*time.Second-pause) && !i.run.starved(begun) {
			i.run.judge.add(RuleGraceMissed, "%s did not end within %d s of SIGTERM, beside its successor", p.name, graceSeconds)
		}
		return nil
	})
}

// holdAddress listens at one of a process's addresses when it is started.
func (i *faultInjector) holdAddress() error {
	p := i.anyProcess()
	held := ownAddresses(p.program, i.run.fleet.settingsOf(p, false, nil))
	address, down := held[i.random.IntN(len(held))], i.length()/2
	return i.on(p, "started while "+address+" is held", func() error {
		p.kill()
		holder, err := net.Listen("tcp4", address)
		if err != nil {
			i.run.log("%s not held: %v", address, err)
			return i.run.start(p)
		}
		defer func() { _ = holder.Close() }()
		if err := i.run.start(p); err != nil {
			return err
		}
		time.Sleep(down)
		return nil
	})
}

// hangups sends SIGHUP as soon as a process can handle it, and again and again.
func (i *faultInjector) hangups() error {
	p := i.anyProcess()
	return i.on(p, "started, SIGHUPs from the first moment", func() error {
		p.kill()
		if err := i.run.start(p); err != nil {
			return err
		}
		p.awaitHangupHandled()
		p.hangUp(hangupsInSeries)
		return nil
	})
}

// hangUp sends SIGHUP several times.
func (p *process) hangUp(times int) {
	for range times {
		p.signal(syscall.SIGHUP)
		time.Sleep(hangupInterval)
	}
}

// loseCollector starts a process that logs to a pipe, whose reader goes away.
func (i *faultInjector) loseCollector() error {
	p := i.anyProcess()
	down := i.length() / 3
	return i.on(p, "started, its log's reader goes away", func() error {
		p.kill()
		if err := i.run.startLogging(p, logToPipe); err != nil {
			return err
		}
		time.Sleep(down)
		if current := p.running(); current != nil {
			current.log.collectorGoes()
		}
		p.awaitHangupHandled()
		p.hangUp(hangupsInSeries)
		return nil
	})
}

// stickCollector starts a process that logs to a pipe which nobody reads, and has it log more than the pipe holds.
func (i *faultInjector) stickCollector() error {
	p := i.anyProcess()
	return i.on(p, "started, nobody reads its log", func() error {
		p.kill()
		if err := i.run.startLogging(p, logToStuck); err != nil {
			return err
		}
		p.awaitHangupHandled()
		p.hangUp(hangupsFillingAPipe)
		return nil
	})
}

// tearSettings starts a process whose settings file is there in part, and completes the file later.
func (i *faultInjector) tearSettings() error {
	p := i.anyProcess()
	down := time.Duration(i.random.Int64N(int64(settingsTornFor)))
	return i.on(p, "started while its settings are written", func() error {
		p.kill()
		whole, err := os.ReadFile(p.settingsFile())
		if err != nil {
			return err
		}
		if err := os.WriteFile(p.settingsFile(), whole[:len(whole)/tornPart], 0o600); err != nil {
			return err
		}
		if err := i.run.start(p); err != nil {
			return err
		}
		time.Sleep(down)
		return os.WriteFile(p.settingsFile(), whole, 0o600)
	})
}

// startOnFullDisk starts a controller whose disk is full; if the group tolerates that, the disk is an empty one.
func (i *faultInjector) startOnFullDisk() error {
	p := i.controller()
	down := i.length() / 2
	wiped := i.mayWipe()
	return i.on(p, "started on a full disk", func() error {
		p.kill()
		if wiped {
			if err := i.emptyDisk(p); err != nil {
				return err
			}
		}
		if err := i.run.fleet.setDisk(p, diskFull); err != nil {
			return err
		}
		if err := i.run.start(p); err != nil {
			return err
		}
		time.Sleep(down)
		return i.run.fleet.setDisk(p, "")
	})
}

// ownAddresses are what a program with these settings listens at.
func ownAddresses(program string, s settings.Settings) []string {
	if program == programRouter {
		return []string{s.Bind.Front, s.Bind.Readiness, s.Port(settings.RouterPortOffset), s.Port(settings.RouterStatePortOffset)}
	}
	return []string{s.Bind.Control, s.Port(settings.ControlPortOffset), s.Port(settings.ControlStatePortOffset)}
}

// allFaults are the kinds of faults of processes, paths and disks.
func allFaults() []fault { return slices.Concat(processFaults, startFaults) }
