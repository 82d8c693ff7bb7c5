package emulator

import (
	"io"
	"net/http"
	"time"

	"shaletrestle/internal/clock"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/task"
)

const readinessPath = "/v1/readiness"

var errInterrupted = errkind.New(errkind.Unready, "interrupted")

// probes is the client for what is asked of the emulated machines beside the
// traffic.
var probes = &http.Client{
	Timeout:   yardDial,
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
func await(scope *task.Scope, timeout time.Duration, complaint string, met func() bool) error {
	end := clock.Now().Add(timeout)
	for !met() {
		if clock.Now().After(end) {
			return errkind.New(errkind.Unready, "%s within %s", complaint, timeout)
		}
		if !clock.Rest(scope, yardLook) {
			return errInterrupted
		}
	}
	return nil
}

// readyTimeout is the time that the experiment gives for anything to be ready.
func (b *testbed) readyTimeout() time.Duration { return clock.Seconds(b.experiment.Ready) }

// awaitReplicas waits until every replica answers that it is healthy.
func (b *testbed) awaitReplicas() error {
	for _, name := range b.replicaNames {
		url := "http://" + b.replicas[name].address + healthPath
		healthy := func() bool { return probeStatus(url) == http.StatusOK }
		if err := await(b.scope, b.readyTimeout(), "replica "+name+" did not start", healthy); err != nil {
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
		if err := await(b.scope, b.readyTimeout(), router.name+" was not ready", ready); err != nil {
			return err
		}
	}
	return nil
}

// ended tells whether a daemon in this process has ended, and why. Of one in another
// process nothing is heard.
func (d *daemon) ended() (bool, error) {
	select {
	case err := <-d.done:
		d.done <- err
		return true, errkind.Wrap(errkind.BadEnv, err, d.name+" ended")
	default:
		return false, nil
	}
}
