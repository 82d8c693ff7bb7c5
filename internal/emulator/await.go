package emulator

import (
	"context"
	"io"
	"net/http"
	"time"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/durations"
	"shaletrestle/internal/errkind"
)

// Times of what is polled and dialled.
const (
	pollInterval = 10 * time.Millisecond // pause between looks at something that is awaited
	dialTimeout  = 1 * time.Second       // a client gives a new connection this long
)

const readinessPath = "/v1/readiness"

var errInterrupted = errkind.New(errkind.Unavailable, "interrupted")

// probes is the client for what is asked of the emulated machines beside the
// traffic.
var probes = &http.Client{
	Timeout:   dialTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// probeStatus is the status that a page answers; 0 if it does not.
func probeStatus(url string) int {
	response, err := probes.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// await checks a condition again and again until it is met; its error tells that it
// was not met in time.
func await(ctx context.Context, timeout time.Duration, complaint string, met func() bool) error {
	end := time.Now().Add(timeout)
	for !met() {
		if time.Now().After(end) {
			return errkind.New(errkind.Unavailable, "%s within %s", complaint, timeout)
		}
		if !wait.Sleep(ctx, pollInterval) {
			return errInterrupted
		}
	}
	return nil
}

// readyTimeout is the time that the experiment gives for anything to be ready.
func (b *testbed) readyTimeout() time.Duration { return durations.FromSeconds(b.experiment.ReadyS) }

// awaitReplicas waits until every replica answers that it is healthy.
func (b *testbed) awaitReplicas() error {
	for _, name := range b.replicaNames {
		url := "http://" + b.replicas[name].address + healthPath
		healthy := func() bool { return probeStatus(url) == http.StatusOK }
		if err := await(b.ctx, b.readyTimeout(), "replica "+name+" did not start", healthy); err != nil {
			return err
		}
	}
	return nil
}

// awaitRouters waits until routers call themselves ready.
func (b *testbed) awaitRouters(routers []*daemon) error {
	for _, router := range routers {
		if ended, err := router.ended(); ended {
			return err
		}
		url := "http://" + b.addresses.address(router.ip, portReadiness) + readinessPath
		ready := func() bool { return probeStatus(url) == http.StatusOK }
		if err := await(b.ctx, b.readyTimeout(), router.name+" was not ready", ready); err != nil {
			return err
		}
	}
	return nil
}

// ended reports whether a daemon in this process has ended, and why. Of one in another
// process nothing is heard.
func (d *daemon) ended() (bool, error) {
	select {
	case err := <-d.done:
		d.done <- err
		return true, errkind.Wrap(errkind.InvalidSettings, err, d.name+" ended")
	default:
		return false, nil
	}
}
