package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFaults_ChangedTwiceInAMoment_TheLastOneIsInForce guards against a cut that stays in force in a process after it was lifted.
func TestFaults_ChangedTwiceInAMoment_TheLastOneIsInForce(t *testing.T) {
	m := newMachine(t)
	m.writeSettings(programController)
	i := m.start(programController)
	i.awaitServing()
	link := "127.0.0.1 " + m.ip // the client's
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 30 {
		require.NoError(t, m.fleet.changeFaults(func(faults *linkFaults) { faults.DelayMs[link] = 60_000 }))
		require.NoError(t, m.fleet.changeFaults(func(faults *linkFaults) { delete(faults.DelayMs, link) }))
		i.await("the delay is over", func() bool {
			answer, err := client.Get("http://" + m.settings(programController).Bind.Control + "/v1/anything")
			if err != nil {
				return false
			}
			_ = answer.Body.Close()
			return true
		})
	}
}
