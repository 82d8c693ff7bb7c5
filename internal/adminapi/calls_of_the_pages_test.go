package adminapi

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestServer_EveryCallOfThePages_HasAHandler guards against calls that are asked for and answered 404.
func TestServer_EveryCallOfThePages_HasAHandler(t *testing.T) {
	for _, call := range []string{
		"GET /v1/config", "PUT /v1/config", "PATCH /v1/config",
		"POST /v1/evacuation/north", "DELETE /v1/evacuation/north",
		"POST /v1/tallies/t3", "GET /v1/tallies/t3",
	} {
		method, target, _ := strings.Cut(call, " ")
		response := ask(&fakeControl{here: true}, method, target, "1", `{"replica_id":"5c0e7a21d94b36f8","actor":4}`)
		notThere := response.Code == http.StatusNotFound && strings.Contains(response.Body.String(), errNoSuchCall.Error())
		require.False(t, notThere, "%s was answered %d %s", call, response.Code, response.Body)
	}
}
