package configcheck

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"shaletrestle/internal/state"
)

const (
	// maxHeadBytes bounds the head of the answer.
	maxHeadBytes = 32 << 10
	// maxAnswerBytes bounds the answer, which is read into memory.
	maxAnswerBytes = 32 << 20
)

// ErrFleetUnreachable says that the fleet's view could not be fetched; the error around it says why.
var ErrFleetUnreachable = errors.New("the fleet's view cannot be fetched")

// FetchView gets a controller's view of the fleet from its state page, a host and a port. dial may be nil for the real
// network. It fails with ErrFleetUnreachable, or with an error of [state.DecodeView] if the answer is no view.
func FetchView(page string, timeout time.Duration, dial func(address string, timeout time.Duration) (net.Conn, error)) (*state.View, error) {
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	if dial != nil {
		transport.DialContext = func(_ context.Context, _, address string) (net.Conn, error) {
			return dial(address, timeout)
		}
	}
	client := &http.Client{Timeout: timeout, Transport: transport}
	response, err := client.Get("http://" + page + "/fleet")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFleetUnreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFleetUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: answer %d", ErrFleetUnreachable, response.StatusCode)
	}
	return state.DecodeView(body)
}
