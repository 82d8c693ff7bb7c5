package configcheck

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/state"
)

// Fetch gets a controller's view of the fleet from its state page; dial may be
// nil for the real network.
func FetchView(page string, timeout time.Duration, dial func(string, time.Duration) (net.Conn, error)) (*state.View, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	if dial != nil {
		transport.DialContext = func(_ context.Context, _, address string) (net.Conn, error) {
			return dial(address, timeout)
		}
	}
	client := &http.Client{Timeout: timeout, Transport: transport}
	response, err := client.Get("http://" + page + "/fleet")
	if err != nil {
		return nil, errkind.Wrap(errkind.Unavailable, err, "the fleet could not be asked")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errkind.Wrap(errkind.Unavailable, err, "the fleet could not be asked")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errkind.New(errkind.Unavailable, "the fleet could not be asked: answer %d", response.StatusCode)
	}
	return state.DecodeView(body)
}
