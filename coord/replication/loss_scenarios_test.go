package replication

import "time"

const (
	awayTime    = time.Second     // of a member that is lost and comes back
	noticeTime  = 5 * time.Second // until what follows a return has ended
	replaceTime = 300 * time.Millisecond
	graceTime   = 8 * time.Second
)

var lossScenarios = []lossScenario{
	{name: "takeover", play: takeover},
	{name: "backup replaced as copy", play: backupReplacedAsCopy},
	{name: "witness replaced without notice", play: witnessReplaced},
	{name: "witness replaced as planned", play: witnessReplacedAsPlanned},
	{name: "primary replaced as planned", play: primaryReplacedAsPlanned},
	{name: "wiped at its own address", play: wipedAtItsOwnAddress},
	{name: "backup leaves", play: func(r *lossRun) { restarts(r, r.at(r.view().Backups[0])) }},
	{name: "primary leaves", play: func(r *lossRun) { restarts(r, r.primary()) }},
	{name: "witnesses grow", needs: 2, members: 5, start: startThree, play: witnessesGrow},
	{name: "zone lost", play: zoneLost},
	{name: "first view", start: startEmpty, play: firstView},
	{name: "old disk at another's address", play: oldDiskAtAnothersAddress},
	{name: "seeds wiped in turn", play: seedsWipedInTurn},
}

func takeover(r *lossRun) {
	p := r.primary()
	r.lose(false, p)
	time.Sleep(awayTime)
	r.comeBack(p)
	time.Sleep(noticeTime)
}

func backupReplacedAsCopy(r *lossRun) {
	b := r.at(r.view().Backups[0])
	r.lose(false, b)
	time.Sleep(awayTime)
	r.comeBack(b)
	time.Sleep(noticeTime)
}

// onlyWitness is a witness that is no copy, or else the last backup.
func onlyWitness(r *lossRun) int {
	view := r.view()
	for _, w := range view.Witnesses {
		if index(view.Replicas(), w.ID) < 0 {
			return r.at(w)
		}
	}
	return r.at(view.Backups[len(view.Backups)-1])
}

func witnessReplaced(r *lossRun) {
	w := onlyWitness(r)
	r.lose(true, w)
	time.Sleep(replaceTime)
	r.add(r.crowd.zone[w])
	r.succeeded(w)
	time.Sleep(noticeTime)
}

func witnessReplacedAsPlanned(r *lossRun) { replaceAsPlanned(r, onlyWitness(r)) }

func primaryReplacedAsPlanned(r *lossRun) { replaceAsPlanned(r, r.primary()) }

// replaceAsPlanned adds the successor first, and lets a member leave once it counts.
func replaceAsPlanned(r *lossRun, i int) {
	r.add(r.crowd.zone[i])
	time.Sleep(syncTime)
	r.waitForCalm(0)
	r.leave(i, true)
	r.succeeded(i)
	time.Sleep(noticeTime)
}

func wipedAtItsOwnAddress(r *lossRun) {
	b := r.at(r.view().Backups[0])
	r.lose(true, b)
	time.Sleep(replaceTime)
	r.comeBack(b)
	time.Sleep(noticeTime)
}

// restarts lets a member leave and start again with its disk.
func restarts(r *lossRun, i int) {
	r.leave(i, false)
	time.Sleep(replaceTime)
	r.locked(func() { delete(r.leaving, i) })
	r.comeBack(i)
	time.Sleep(noticeTime)
}

// startThree starts as many members as bear one loss where two are wanted.
func startThree(losses int, zones []string) *crowd {
	return newCrowd(losses, zones[0], zones[2], zones[len(zones)-1])
}

// witnessesGrow adds two members. Until these count, one loss is borne.
func witnessesGrow(r *lossRun) {
	r.locked(func() { r.bearable = 1 })
	for _, zone := range []string{"y", "z"} {
		i := r.add(zone)
		r.succeeded(i) // it held nothing, so it is no loss
	}
	time.Sleep(syncTime + noticeTime)
}

func zoneMembers(r *lossRun, zone string) []int {
	var members []int
	for i, z := range r.crowd.zone {
		if z == zone {
			members = append(members, i)
		}
	}
	return members
}

func zoneLost(r *lossRun) {
	members := zoneMembers(r, r.crowd.zone[r.primary()])
	r.lose(false, members...)
	time.Sleep(awayTime)
	for _, i := range members {
		r.comeBack(i)
	}
	time.Sleep(noticeTime)
}

func startEmpty(losses int, zones []string) *crowd { return startCrowd(losses, zones...) }

// firstView loses a seed while the first view is made, its disk kept, where a further loss must be borne then. The first witnesses are the three seeds, so one disk of theirs may be lost until they are five.
func firstView(r *lossRun) {
	if r.crowd.losses > 1 {
		time.Sleep(5 * time.Millisecond)
		r.lose(false, 0)
		time.Sleep(replaceTime)
		r.comeBack(0)
	}
	time.Sleep(noticeTime)
}

// oldDiskAtAnothersAddress replaces a backup, and then starts its old disk at the address of another member that is lost.
func oldDiskAtAnothersAddress(r *lossRun) {
	b := r.at(r.view().Backups[0])
	old := r.crowd.st[b]
	r.lose(true, b)
	time.Sleep(replaceTime)
	r.add(r.crowd.zone[b])
	r.succeeded(b)
	r.waitForCalm(0)
	other := r.primary()
	r.lose(true, other)
	r.locked(func() { r.crowd.st[other] = old })
	time.Sleep(replaceTime)
	r.comeBack(other)
	time.Sleep(noticeTime)
}

func seedsWipedInTurn(r *lossRun) {
	for i := range r.crowd.m {
		r.lose(true, i)
		time.Sleep(replaceTime)
		r.comeBack(i)
		time.Sleep(syncTime)
	}
}
