package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["limits"] = playLimits }

const (
	smallHead    = 16384 // max_header_bytes of the first configuration, as on the pages
	largeHead    = 65536 // of the second
	headBytes    = 40000 // of the requests sent under the second
	perMachine   = 8     // kept connections
	deniedSlack  = 5     // DENIED: "more than 5 + one in 500"
	deniedPart   = 500
	restBefore   = 4 * time.Second // from the acknowledgement to the requests: config_apply_ms is 2 s
	limitsBudget = 1500 * time.Millisecond
)

// playLimits has clients keep their connections while a configuration raises max_header_bytes, and then send heads that the
// new one allows. Without the trouble, the larger limit is in the first configuration.
func playLimits(f *fleet, trouble bool) (string, error) {
	for machine := 21; machine <= 23; machine++ {
		if _, err := f.addReplica("huno90b", machine, 6, 24, 20*time.Millisecond); err != nil {
			return "", err
		}
	}
	first := smallHead
	if !trouble {
		first = largeHead
	}
	if err := f.launch(limitsConfiguration(3, first)); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	var clients []*tcpClient
	total, denied, other := 0, 0, 0
	for machine := 1; machine <= 3; machine++ {
		for n := range perMachine {
			c, err := f.connect(machine)
			if err != nil {
				return "", err
			}
			defer c.close()
			status, _, _, err := c.post("/zulo26/s", "wuka97.example", fmt.Sprintf("before-%d-%d", machine, n), limitsBudget, []byte("lot"))
			if err != nil || status != 200 {
				return "", fmt.Errorf("before the change: %d, %w", status, err)
			}
			total++
			clients = append(clients, c)
		}
	}
	status, err := f.order("PUT", "/v1/config", "3", limitsConfiguration(7, largeHead), 4*time.Second)
	if err != nil || status != 200 {
		return "", fmt.Errorf("the change: %d, %w", status, err)
	}
	time.Sleep(restBefore)
	var sending sync.WaitGroup
	var mu sync.Mutex // guards the counts
	for i, c := range clients {
		sending.Go(func() {
			id := fmt.Sprintf("after-%d", i)
			request := largeRequest(id)
			var status int
			_, err := c.conn.Write([]byte(request))
			if err == nil {
				status, _, _, err = c.read(limitsBudget + 2*time.Second)
			}
			f.logf("request %s with a head of %d bytes on a kept connection: %d %v, runs %d", id, len(request), status, err, len(f.runsOf(id)))
			mu.Lock()
			defer mu.Unlock()
			total++
			switch {
			case status >= 300 && status < 500 && status != 408 && status != 421 && status != 429:
				denied++
			case err != nil || status != 200:
				other++
			}
		})
	}
	sending.Wait()
	// The same head on a new connection shows that the new limit is in force on each machine.
	for machine := 1; machine <= 3; machine++ {
		c, err := f.connect(machine)
		if err != nil {
			return "", err
		}
		request := largeRequest(fmt.Sprintf("new-%d", machine))
		_, _ = c.conn.Write([]byte(request))
		status, _, _, err := c.read(limitsBudget + 2*time.Second)
		c.close()
		total++
		f.logf("the same head on a new connection to machine %d: %d %v", machine, status, err)
		if err != nil || status != 200 {
			return "", errors.New("the new limit is not in force on new connections")
		}
	}
	f.logf("requests %d, denied %d, otherwise not served %d", total, denied, other)
	if denied > deniedSlack+total/deniedPart {
		return fmt.Sprintf("DENIED: %d of %d requests that the configuration in force allows got a 4xx", denied, total), nil
	}
	return "", nil
}

// largeRequest is a request whose head has headBytes and a little more.
func largeRequest(id string) string {
	return head("POST", "/zulo26/s", "wuka97.example", id, limitsBudget, "Lot-Note: "+strings.Repeat("x", headBytes)+"\r\nContent-Length: 3\r\n") + "lot"
}

func limitsConfiguration(revision, maxHead int) map[string]any {
	route := map[string]any{"name": "r-tag", "hostname": "wuka97.example", "path_prefix": "/zulo26/", "route_type": "idempotent", "timeout_ms": 1500,
		"target_latency_ms": 300, "priority": 2, "backend_pool": "huno90b", "max_attempts": 2}
	return map[string]any{"revision": revision, "route_table": []any{route},
		"backend_pools": []any{map[string]any{"name": "huno90b", "health_check_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}},
		"limits":        map[string]any{"max_header_bytes": maxHead, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}
