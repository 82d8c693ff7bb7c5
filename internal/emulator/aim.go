package emulator

import (
	"slices"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/constants"
	"shaletrestle/internal/task"
)

// atAim builds the size to come, measures it whole, and then how long it takes to come back from losses.
func atAim(sc *task.Scope, hold func() (*cell, error), o Output) (*Series, error) {
	return whole(sc, aim, hold, o, constants.YardWindow)
}

// withFive is the same with five controllers, as for five machines set aside.
func withFive(sc *task.Scope, hold func() (*cell, error), o Output) (*Series, error) {
	z := aim
	z.Houses, z.Zones = 5, aim.Houses
	return whole(sc, z, hold, o, constants.YardWindow)
}

func whole(sc *task.Scope, z size, hold func() (*cell, error), o Output, window clock.Span) (*Series, error) {
	at := clock.Now()
	p, err := newPlant(sc, z, hold, window)
	if err != nil {
		return nil, err
	}
	defer p.close()
	start := clock.Since(at)
	v, err := p.measure()
	if err != nil {
		return nil, err
	}
	v["start_of_everything_ms"] = millis(start)
	o.say("aim: %v", v.text())
	zone := len(p.houses) - 1
	roles, err := p.settled()
	if err != nil {
		return nil, err
	}
	if roles["primary"] == zone {
		zone-- // a zone without the primary; the primary's is measured by itself
	}
	in := func(zones ...int) (ds []*daemon, hs []int) {
		for _, z := range zones {
			for _, g := range p.gates {
				if g.zone == p.houses[z].zone {
					ds = append(ds, g)
				}
			}
			hs = append(hs, z)
		}
		return
	}
	node := p.gates[0]
	region := []int{zone, zone - 1, zone - 2}
	region = slices.DeleteFunc(region, func(z int) bool { return z < 0 }) // of three controllers the last may be primary
	for _, l := range []struct {
		name   string
		gates  []*daemon
		houses []int
	}{{"one_node", []*daemon{node}, nil}, {"zone", nil, []int{zone}}, {"region", nil, region}} {
		if len(l.houses) > 0 {
			l.gates, l.houses = in(l.houses...)
		}
		d, err := p.rebuild(l.gates, l.houses)
		if err != nil {
			return nil, err
		}
		v["rebuild_"+l.name+"_ms"] = millis(d)
		o.say("aim: %s (%d nodes, %d controllers) rebuilt in %.0f ms", l.name, len(l.gates), len(l.houses), millis(d))
	}
	if d, err := p.primaryLost(); err == nil {
		v["order_taken_after_primary_lost_ms"] = millis(d)
		o.say("aim: an order was taken %.0f ms after the primary's process was ended", millis(d))
	} else {
		return nil, err
	}
	return &Series{Points: []Point{{X: float64(z.Nodes), Size: &z, Values: v}}}, nil
}

// rebuild ends nodes and controllers, starts them again and gives the time from their start until all nodes are ready. The disks are kept.
func (p *plant) rebuild(gates []*daemon, houses []int) (clock.Span, error) {
	if err := p.tell(p.nodes, "stop", gates); err != nil {
		return 0, err
	}
	for _, i := range houses {
		if err := p.tell(p.house[i], "stop", []*daemon{p.houses[i]}); err != nil {
			return 0, err
		}
	}
	if !clock.Rest(p.sc, p.window/2) {
		return 0, errInterrupted
	}
	at := clock.Now()
	for _, i := range houses {
		if err := p.write(p.houses[i], false); err != nil {
			return 0, err
		}
		if err := p.tell(p.house[i], "start", []*daemon{p.houses[i]}); err != nil {
			return 0, err
		}
	}
	if err := p.tell(p.nodes, "start", gates); err != nil {
		return 0, err
	}
	if err := p.awaitGates(gates); err != nil {
		return 0, err
	}
	return clock.Since(at), nil
}

// primaryLost ends the primary's process and gives the time until an order is taken again.
func (p *plant) primaryLost() (clock.Span, error) {
	if !clock.Rest(p.sc, p.window/2) {
		return 0, errInterrupted
	}
	roles, err := p.settled()
	if err != nil {
		return 0, err
	}
	i := roles["primary"]
	if err := p.tell(p.house[i], "stop", []*daemon{p.houses[i]}); err != nil {
		return 0, err
	}
	at := clock.Now()
	body := map[string]any{"upsert": map[string]any{"route_table": []any{p.s.route(0, 30000)}}}
	_, err = p.operator.order(p.sc, "PATCH", body, clock.Seconds(p.x.Ready))
	return clock.Since(at), err
}
