package replication

import "time"

const (
	outageTime   = time.Second     // of a member that is lost and comes back
	repairTime   = 5 * time.Second // until what follows a return has ended
	replaceTime  = 300 * time.Millisecond
	leaveTimeout = 8 * time.Second
)

var lossScenarios = []lossScenario{
	{name: "takeover", play: takeover},
	{name: "backup replaced as replica", play: backupReplacedAsReplica},
	{name: "witness replaced without notice", play: witnessReplaced},
	{name: "witness replaced as planned", play: witnessReplacedAsPlanned},
	{name: "primary replaced as planned", play: primaryReplacedAsPlanned},
	{name: "wiped at its own address", play: wipedAtItsOwnAddress},
	{name: "backup leaves", play: func(r *lossRun) { restarts(r, firstBackup(r)) }},
	{name: "primary leaves", play: func(r *lossRun) { restarts(r, r.primary()) }},
	{name: "witnesses grow", needs: 2, members: 5, start: startThree, play: witnessesGrow},
	{name: "zone lost", play: zoneLost},
	{name: "first view", start: startEmpty, play: firstView},
	{name: "old disk at another's address", play: oldDiskAtAnothersAddress},
	{name: "seeds wiped in turn", play: seedsWipedInTurn},
}

func takeover(r *lossRun) { outage(r, r.primary(), outageTime, false) }

func backupReplacedAsReplica(r *lossRun) { outage(r, firstBackup(r), outageTime, false) }

func wipedAtItsOwnAddress(r *lossRun) { outage(r, firstBackup(r), replaceTime, true) }

// outage loses a member for a while, with its disk or not.
func outage(r *lossRun, member int, duration time.Duration, wiped bool) {
	r.lose(wiped, member)
	time.Sleep(duration)
	r.restart(member)
	time.Sleep(repairTime)
}

func firstBackup(r *lossRun) int { return r.indexOf(r.view().Backups[0]) }

// onlyWitness is a witness that is no replica, or else the last backup.
func onlyWitness(r *lossRun) int {
	view := r.view()
	for _, w := range view.Witnesses {
		if memberIndex(view.Replicas(), w.ID) < 0 {
			return r.indexOf(w)
		}
	}
	return r.indexOf(view.Backups[len(view.Backups)-1])
}

func witnessReplaced(r *lossRun) {
	w := onlyWitness(r)
	r.lose(true, w)
	time.Sleep(replaceTime)
	r.add(r.cluster.zones[w])
	r.replaced(w)
	time.Sleep(repairTime)
}

func witnessReplacedAsPlanned(r *lossRun) { replaceAsPlanned(r, onlyWitness(r)) }

func primaryReplacedAsPlanned(r *lossRun) { replaceAsPlanned(r, r.primary()) }

// replaceAsPlanned adds the successor first, and lets a member leave once it counts.
func replaceAsPlanned(r *lossRun, i int) {
	r.add(r.cluster.zones[i])
	time.Sleep(syncTime)
	r.waitForLosses(0)
	r.leave(i, true)
	r.replaced(i)
	time.Sleep(repairTime)
}

// restarts lets a member leave and start again with its disk.
func restarts(r *lossRun, i int) {
	r.leave(i, false)
	time.Sleep(replaceTime)
	r.locked(func() { delete(r.leaving, i) })
	r.restart(i)
	time.Sleep(repairTime)
}

// startThree starts as many members as bear one loss where two are wanted.
func startThree(maxFailures int, zones []string) *cluster {
	return newCluster(maxFailures, zones[0], zones[2], zones[len(zones)-1])
}

// witnessesGrow adds two members. Until these count, one loss is tolerated.
func witnessesGrow(r *lossRun) {
	r.locked(func() { r.tolerable = 1 })
	for _, zone := range []string{"y", "z"} {
		i := r.add(zone)
		r.replaced(i) // its disk was empty, so it is no loss
	}
	time.Sleep(syncTime + repairTime)
}

func zoneMembers(r *lossRun, zone string) []int {
	var members []int
	for i, z := range r.cluster.zones {
		if z == zone {
			members = append(members, i)
		}
	}
	return members
}

func zoneLost(r *lossRun) {
	members := zoneMembers(r, r.cluster.zones[r.primary()])
	r.lose(false, members...)
	time.Sleep(outageTime)
	for _, i := range members {
		r.restart(i)
	}
	time.Sleep(repairTime)
}

func startEmpty(maxFailures int, zones []string) *cluster { return startCluster(maxFailures, zones...) }

// firstView loses a seed while the first view is made, its disk kept, where a further loss must be tolerated then. The first witnesses are the three seeds, so one disk of theirs may be lost until they are five.
func firstView(r *lossRun) {
	if r.cluster.maxFailures > 1 {
		time.Sleep(5 * time.Millisecond)
		r.lose(false, 0)
		time.Sleep(replaceTime)
		r.restart(0)
	}
	time.Sleep(repairTime)
}

// oldDiskAtAnothersAddress replaces a backup, and then starts its old disk at the address of another member that is lost.
func oldDiskAtAnothersAddress(r *lossRun) {
	backup := firstBackup(r)
	old := r.cluster.stores[backup]
	r.lose(true, backup)
	time.Sleep(replaceTime)
	r.add(r.cluster.zones[backup])
	r.replaced(backup)
	r.waitForLosses(0)
	other := r.primary()
	r.lose(true, other)
	r.locked(func() { r.cluster.stores[other] = old })
	time.Sleep(replaceTime)
	r.restart(other)
	time.Sleep(repairTime)
}

func seedsWipedInTurn(r *lossRun) {
	for i := range r.cluster.members {
		r.lose(true, i)
		time.Sleep(replaceTime)
		r.restart(i)
		time.Sleep(syncTime)
	}
}
