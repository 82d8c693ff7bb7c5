package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["replay"] = playReplay }

const (
	bigRoutes   = 350                     // of one big_config, the largest of the site
	bigChanges  = 20                      // of these
	stormGap    = 80 * time.Millisecond   // the shortest gap_s of a config_storm
	stormTime   = 60 * time.Second        // of changes of one route each
	downTime    = 700 * time.Millisecond  // "back within a second"
	drainFrom   = 500 * time.Millisecond  // from the start of the core's processes until a replica is listed as draining
	drainTime   = 3 * time.Second         // drain_ms
	contactTime = 3 * time.Second         // contact_ms
	tolerance   = 300 * time.Millisecond  // for this process's own clock and timers
	lingerTime  = 12 * time.Second        // that the draining replica serves on
	edgeClients = 6                       // on each machine without a disk
	edgeBudget  = 1500 * time.Millisecond // of their requests
)

// playReplay has the configuration grow by many routes and then change often, kills the processes of the core at once and
// starts them again, while a replica begins to drain. The machines without a disk are never touched.
func playReplay(f *fleet, trouble bool) (string, error) {
	for machine := 21; machine <= 24; machine++ {
		if _, err := f.addReplica("huno90b", machine, 6, 24, 20*time.Millisecond); err != nil {
			return "", err
		}
	}
	leaving := f.replicas[3]
	if err := f.launch(limitsConfiguration(1, 16384)); err != nil {
		return "", err
	}
	revision, err := f.manyChanges()
	if err != nil {
		return "", err
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	var served atomic.Int64
	for n := range 2 * edgeClients {
		clients.Go(func() { f.edgeClient(coreMachines+1+n%2, n, done, &served) })
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.eachOfCore((*process).kill)
		f.logf("all processes of the core killed")
		time.Sleep(downTime)
		f.eachOfCore(func(p *process) {
			if e := p.run(); e != nil {
				err = e
			}
		})
		f.logf("all processes of the core started")
	}
	back := time.Now()
	time.Sleep(drainFrom)
	f.mu.Lock()
	leaving.state = "draining"
	f.mu.Unlock()
	listed := time.Now()
	f.logf("the list shows %s as draining", leaving.id)
	f.watchCore(back, revision, listed.Add(lingerTime))
	close(done)
	clients.Wait()
	limit := listed.Add(drainTime)
	if inTouch := back.Add(contactTime); trouble && inTouch.After(limit) {
		limit = inTouch
	}
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	late, last := 0, time.Time{}
	for _, a := range leaving.arrived {
		if a.at.After(limit.Add(tolerance)) {
			late++
			last = a.at
		}
	}
	f.logf("requests served at the machines without a disk: %d; at the draining replica: %d in all, %d too late", served.Load(), len(leaving.arrived), late)
	if served.Load() == 0 || len(leaving.arrived) == 0 || err != nil {
		return "", errors.Join(errors.New("no request was served"), err)
	}
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests of machines in touch reached a replica later than drain_ms after the list showed it as draining, the last %.1f s after; the core was back %.1f s before that one",
			late, last.Sub(listed).Seconds(), last.Sub(back).Seconds()), nil
	}
	return "", nil
}

// manyChanges makes the configuration grow, and then changes one route after the other.
func (f *fleet) manyChanges() (revision int, err error) {
	revision = 1
	patch := func(routes []any) error {
		status, err := f.order("PATCH", "/v1/config", strconv.Itoa(revision), map[string]any{"revision": revision + 1, "upsert": map[string]any{"route_table": routes}}, 10*time.Second)
		if err == nil && status != 200 {
			err = fmt.Errorf("a valid change got %d", status)
		}
		revision++
		return err
	}
	route := func(n, timeout int) any {
		return map[string]any{"name": fmt.Sprintf("r-more%d", n), "hostname": fmt.Sprintf("more%d.example", n%40), "path_prefix": fmt.Sprintf("/more%d/", n),
			"route_type": "idempotent", "timeout_ms": timeout, "target_latency_ms": 300, "priority": 2, "backend_pool": "huno90b", "max_attempts": 2}
	}
	for big := range bigChanges {
		var routes []any
		for n := range bigRoutes {
			routes = append(routes, route(big*bigRoutes+n, 1500))
		}
		if err := patch(routes); err != nil {
			return 0, err
		}
	}
	f.logf("%d routes more in force, revision %d", bigChanges*bigRoutes, revision)
	for end := time.Now().Add(stormTime); time.Now().Before(end); {
		next := time.Now().Add(stormGap)
		if err := patch([]any{route(revision%bigRoutes, 1500+revision)}); err != nil {
			return 0, err
		}
		time.Sleep(time.Until(next))
	}
	f.logf("revision %d was acknowledged", revision)
	return revision, nil
}

func (f *fleet) eachOfCore(do func(*process)) {
	for _, p := range f.processes {
		if p.machine <= coreMachines {
			do(p)
		}
	}
}

// watchCore reads the configuration until a moment, for the record.
func (f *fleet) watchCore(back time.Time, revision int, until time.Time) {
	client := &http.Client{Timeout: time.Second}
	read := false
	for ; time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for node := 1; node <= coreMachines && !read; node++ {
			response, err := client.Get("http://" + f.at(node, portControl) + "/v1/config")
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if read = response.StatusCode == 200; read {
				f.logf("the configuration (revision %d was acknowledged) can be read %.1f s after the core's processes were back", revision, time.Since(back).Seconds())
			}
		}
	}
	if !read {
		f.logf("the configuration could not be read for %.1f s after the core's processes were back", time.Since(back).Seconds())
	}
}

// edgeClient sends requests one after the other to a machine.
func (f *fleet) edgeClient(machine, n int, done chan struct{}, served *atomic.Int64) {
	var c *tcpClient
	for number := 0; ; number++ {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if c == nil {
			connected, err := f.connect(machine)
			if err != nil {
				continue
			}
			c = connected
		}
		status, _, _, err := c.post("/zulo26/s", "wuka97.example", fmt.Sprintf("edge-%d-%d-%d", machine, n, number), edgeBudget, []byte("lot"))
		if err != nil {
			c.close()
			c = nil
		}
		if status == 200 {
			served.Add(1)
		}
	}
}
