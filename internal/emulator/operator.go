package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/errkind"
)

// operator is the stand-in for the operator.
type operator struct {
	controllers []string // control addresses
	client      *http.Client
	revision    int64 // newest one that was accepted
}

func newOperator(controllers []string) *operator {
	return &operator{
		controllers: controllers,
		client: &http.Client{
			Timeout:   dialTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 1},
		},
	}
}

// put replaces the complete configuration.
func (o *operator) put(ctx context.Context, config *configuration, timeout time.Duration) (time.Duration, error) {
	return o.order(ctx, http.MethodPut, config, timeout)
}

// patch changes one route.
func (o *operator) patch(ctx context.Context, route routeConfig, timeout time.Duration) (time.Duration, error) {
	return o.order(ctx, http.MethodPatch, routeChange(route), timeout)
}

// order sends one change on top of the newest revision, to one controller after
// the other, until it is accepted. It gives the time of the call that was answered.
func (o *operator) order(ctx context.Context, method string, config *configuration, timeout time.Duration) (time.Duration, error) {
	config.Revision = o.revision + 1
	body, err := json.Marshal(config)
	if err != nil {
		return 0, errkind.Wrap(errkind.Internal, err, "order")
	}
	last := "no answer"
	end := time.Now().Add(timeout)
	for i := 0; time.Now().Before(end); i++ {
		request, err := o.request(ctx, method, o.controllers[i%len(o.controllers)], body)
		if err != nil {
			return 0, errkind.Wrap(errkind.Internal, err, "order")
		}
		start := time.Now()
		status, text, err := o.send(request)
		if err == nil {
			if status.isClass(2) {
				o.revision = config.Revision
				return time.Since(start), nil
			}
			last = text
			if status.isClass(4) {
				break
			}
		}
		if !wait.Sleep(ctx, pollInterval) {
			return 0, errInterrupted
		}
	}
	return 0, errkind.New(errkind.Unavailable, "the configuration was not accepted: %s", last)
}

func (o *operator) request(ctx context.Context, method, controller string, body []byte) (*http.Request, error) {
	url := "http://" + controller + "/v1/config"
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("If-Match", strconv.FormatInt(o.revision, 10))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// httpStatus is the status code of an answer.
type httpStatus int

// isClass reports whether a status is of a class, as 2 for 200 to 299.
func (s httpStatus) isClass(class int) bool { return int(s)/100 == class }

// send gives the status of the answer, and its status line and body as text.
func (o *operator) send(request *http.Request) (httpStatus, string, error) {
	response, err := o.client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return httpStatus(response.StatusCode), response.Status + " " + string(body), nil
}
