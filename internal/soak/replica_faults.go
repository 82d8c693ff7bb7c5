package soak

import (
	"time"

	"shaletrestle/internal/state"
)

const (
	drainTime      = 3500 * time.Millisecond // from listed as draining to the end
	crashListed    = 1500 * time.Millisecond // a crashed replica stays listed for that long
	addressReuseIn = 2 * time.Second
)

// anyReplica draws one.
func (i *faultInjector) anyReplica() *replica {
	all := i.run.platform.current()
	return all[i.random.IntN(len(all))]
}

// replicaMode lets a replica misbehave for a time.
func (i *faultInjector) replicaMode() error {
	r := i.anyReplica()
	modes := []replicaMode{modeMute, modeLostAnswer, modeLostAnswer, modeSlow, modeBusy, modeCutStream, modeErrors, modeEndless, modeEndless}
	mode := modes[i.random.IntN(len(modes))]
	down := i.length()
	i.run.log("%s: %s for %v", r.id, mode, down)
	r.setMode(mode)
	time.Sleep(down)
	r.setMode(modeWell)
	return nil
}

// replicaCrash ends a replica without notice; another incarnation comes at its address.
func (i *faultInjector) replicaCrash() error {
	r := i.anyReplica()
	if r.listedState() != state.ReplicaReady {
		return nil
	}
	i.run.log("%s: crashes", r.id)
	r.setState("leaving") // no other fault takes it
	r.stop()
	time.Sleep(time.Duration(i.random.Int64N(int64(crashListed))))
	err := i.run.addReplica(r.service, r.ip, r.zone)
	time.Sleep(crashListed)
	i.run.removeReplica(r)
	return err
}

// replicaReplaced drains a replica; a replica of the other service comes at its address, and one of its own at another.
func (i *faultInjector) replicaReplaced() error {
	r := i.anyReplica()
	if r.listedState() != state.ReplicaReady {
		return nil
	}
	i.run.log("%s: drains", r.id)
	if err := i.run.addReplica(r.service, i.run.newReplicaAddress(), r.zone); err != nil {
		return err
	}
	r.setState("draining")
	time.Sleep(drainTime + time.Duration(i.random.Int64N(int64(time.Second))))
	i.run.removeReplica(r)
	r.stop()
	time.Sleep(addressReuseIn)
	other := serviceDesk
	if r.service == serviceDesk {
		other = serviceModel
	}
	i.run.log("%s: its address is reused by %s", r.id, other)
	return i.run.addReplica(other, r.ip, r.zone)
}
