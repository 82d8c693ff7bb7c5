package router

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"shaletrestle/coord/outlier"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/longwork"
	"shaletrestle/internal/placement"
	"shaletrestle/internal/requestlog"
	"shaletrestle/internal/upstream"
)

// writeTimeout is how long a client may read nothing before its connection ends.
const writeTimeout = 10 * time.Second

// recordLoad takes the load that a replica reports with its response.
func (req *request) recordLoad(id, header string) {
	if load, ok := parseLoad(header); ok {
		req.router.placer.UpdateLoad(id, load)
		req.router.longWork.RecordLoad(req.wanted.Pool, id, longwork.Load(load))
	}
}

// parseLoad reads Replica-Load: requests running, requests waiting, slots.
func parseLoad(header string) (load placement.LoadReport, ok bool) {
	fields := strings.Split(header, ",")
	if len(fields) != 3 {
		return load, false
	}
	for i, number := range []*float64{&load.Running, &load.Waiting, &load.Slots} {
		value, err := strconv.ParseFloat(strings.TrimSpace(fields[i]), 64)
		if err != nil || !(value >= 0) {
			return load, false
		}
		*number = value
	}
	return load, true
}

// reportsFull reports whether a replica that rejected a request says that all its slots are taken; one that says nothing
// of them is believed.
func reportsFull(header string) bool {
	load, ok := parseLoad(header)
	return !ok || load.Running+load.Waiting >= load.Slots
}

// relayEvent sends one event on to the client, flushed; false if it does not follow the last one.
func (req *request) relayEvent(event *upstream.Part, head http.Header, joined *bool) bool {
	if !req.mayFollow(event.ID, *joined) {
		return false
	}
	if event.ID >= 0 {
		if *joined && req.lastEventID >= 0 {
			req.eventStep = event.ID - req.lastEventID
		}
		req.lastEventID = event.ID
	}
	*joined = true
	if !req.started {
		req.started = true
		req.firstByteAt = time.Now()
		req.checkResponse(http.StatusOK, head)
		req.recordFirstEvent()
		copyResponseHeader(req.writer.Header(), head)
		req.writer.WriteHeader(http.StatusOK)
	}
	req.write(event.Bytes)
	return true
}

// mayFollow reports whether an event may be sent on after those that the client has. joined is false for the first event
// of a run that resumes another one: that event must be the very next.
func (req *request) mayFollow(id int64, joined bool) bool {
	if id < 0 {
		return joined
	}
	if req.lastEventID < 0 {
		return joined
	}
	step := id - req.lastEventID
	if step <= 0 {
		return false
	}
	return joined || req.eventStep == 0 || step == req.eventStep
}

// recordFirstEvent measures an interactive request: long work gives way when they are late.
func (req *request) recordFirstEvent() {
	if req.work != nil || req.forPeer || req.route.LatencyTarget <= 0 || req.wanted.Chain == nil {
		return
	}
	req.router.longWork.RecordInteractive(req.wanted.Pool, req.arrived, req.route.LatencyTarget)
}

// handleRejection takes a complete response that promises that the replica did not run the request.
func (req *request) handleRejection(response *upstream.Part, id string) outcome {
	req.wanted.Excluded[id] = true
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		req.router.placer.MarkMisaddressed(id)
	case response.Status != http.StatusBadRequest && !reportsFull(response.Header.Get(upstream.HeaderLoad)):
		req.recordFault(id, outlier.Rejected)
	}
	if response.Status == http.StatusBadRequest && !req.history.MayHaveRun() && !req.started {
		req.relay(response)
		return outcomeAnswered
	}
	return req.retry("replicas refused")
}

// complete takes a complete response of a replica that may have run the request; id is empty if a peer sent it to the
// replica.
func (req *request) complete(response *upstream.Part, id string) outcome {
	failed := isServerFailure(response.Status)
	if failed {
		req.recordFault(id, outlier.ServerError)
	}
	if req.started {
		if response.Bytes != nil { // a resumed run answered with something else than events
			return req.retry("not resumed")
		}
		req.recordPace()
		req.trail.Finish(requestlog.Served, "")
		return outcomeAnswered
	}
	switch {
	case failed && req.mayRetry():
		return outcomeRetry
	case impliesNotExecuted(response.Status):
		req.fail(errkind.UpstreamFailure, "the replica refused after it may have run")
		return outcomeAnswered
	}
	req.relay(response)
	return outcomeAnswered
}

// relayedCause is the cause of an end with a replica's own status.
func relayedCause(status int) requestlog.Cause {
	if status >= http.StatusInternalServerError {
		return requestlog.ReplicaError
	}
	return requestlog.Served
}

// relay sends a replica's complete response on, its status and seal unchanged.
func (req *request) relay(response *upstream.Part) {
	req.firstByteAt = time.Now()
	req.checkResponse(response.Status, response.Header)
	req.trail.Finish(relayedCause(response.Status), "")
	copyResponseHeader(req.writer.Header(), response.Header)
	req.writer.Header().Set("Content-Length", strconv.Itoa(len(response.Bytes)))
	req.writer.WriteHeader(response.Status)
	_ = req.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = req.writer.Write(response.Bytes)
}
