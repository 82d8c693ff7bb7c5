package simtest

import (
	"encoding/json"
	"fmt"
	"time"
)

// newestKnown is the newest version that a clear answer spoke of.
func (o *operatorSet) newestKnown() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newest
}

// read reads the configuration at one node and judges what comes.
func (o *operatorSet) read(node string) bool {
	floor := o.newestKnown()
	status, body := o.sim.Send(node, order{method: "GET", path: configPath})
	o.count(status)
	if status != 200 {
		if status == 404 {
			o.sim.AddViolation(RuleConfig, "%s says that there is none, version %d is known", node, floor)
		}
		return false
	}
	var got struct {
		Revision int `json:"revision"`
		Routes   []struct {
			Name string `json:"name"`
			Mark string `json:"x_mark"`
		} `json:"route_table"`
	}
	_ = json.Unmarshal([]byte(body), &got)
	mark := ""
	for _, route := range got.Routes {
		if route.Name == "r-op" {
			mark = route.Mark
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if got.Revision < floor {
		o.sim.AddViolation(RuleConfig, "%s read version %d after %d was known", node, got.Revision, floor)
	}
	if was, known := o.content[got.Revision]; known && was != mark {
		o.sim.AddViolation(RuleConfig, "version %d was read as %q and as %q", got.Revision, was, mark)
	}
	if o.rejected[o.orders[mark]] {
		o.sim.AddViolation(RuleConfig, "version %d is in force, which was rejected", got.Revision)
	}
	o.content[got.Revision] = mark
	o.newest = max(o.newest, got.Revision)
	return true
}

// judge checks an answer to a change against all others, and reports whether it was clear.
func (o *operatorSet) judge(order sentOrder, status int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch status {
	case 200:
		o.judgeAccepted(order)
		return true
	case 400, 412:
		if o.acknowledged[order] {
			o.sim.AddViolation(RuleConfig, "a change on %d was acknowledged, sent again and answered %d", order.base, status)
		}
		o.rejected[order] = true
		return true
	case 0, 307, 503, 502, 504:
		return false
	}
	o.sim.AddViolation(RuleConfig, "a change on %d was answered %d", order.base, status)
	return true
}

// judgeAccepted notes an acknowledged change; the caller holds the lock.
func (o *operatorSet) judgeAccepted(order sentOrder) {
	if other, known := o.accepted[order.base]; known && other != order {
		o.sim.AddViolation(RuleConfig, "two changes on %d were acknowledged", order.base)
	}
	if o.rejected[order] {
		o.sim.AddViolation(RuleConfig, "a change on %d was rejected and acknowledged", order.base)
	}
	o.accepted[order.base] = order
	o.acknowledged[order] = true
	o.newest = max(o.newest, order.revision())
}

// judgeEnd judges the end: all nodes that answer read the same, nothing was rejected wrongly, and the routers go by it.
func (o *operatorSet) judgeEnd() error {
	deadline := time.Now().Add(5 * time.Second)
	for {
		some := false
		for _, node := range o.nodes {
			some = o.read(node) || some
		}
		if some {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("nothing can be read")
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for order := range o.rejected {
		if order.base == o.newest {
			return fmt.Errorf("a change on version %d was rejected, and that is the newest", order.base)
		}
	}
	for base, order := range o.accepted {
		if order.revision() > o.newest || base >= o.newest {
			return fmt.Errorf("version %d was acknowledged, %d is the newest", order.revision(), o.newest)
		}
	}
	return o.followersAgree()
}

// followersAgree waits until all living routers have the newest version and the zone as it was ordered last.
func (o *operatorSet) followersAgree() error {
	deadline := time.Now().Add(3 * time.Second)
	for {
		wrong := ""
		for name, p := range o.sim.processes {
			if p.router == nil || !p.isRunning() {
				continue
			}
			revision, evacuated := p.router.InForce()
			zone := zoneServing
			if evacuated[operatorZone] {
				zone = zoneEvacuated
			}
			if int(revision) != o.newest || o.zone != zoneUnknown && zone != o.zone {
				wrong = fmt.Sprintf("%s has version %d, zone %s; ordered %d, %s", name, revision, zone, o.newest, o.zone)
			}
		}
		if wrong == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s", wrong)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
