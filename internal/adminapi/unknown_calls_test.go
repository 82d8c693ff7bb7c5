package adminapi

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestServer_CallsThatDoNotExist_AreLoggedOnceEach(t *testing.T) {
	var lines bytes.Buffer
	handler := New(context.Background(), slog.New(slog.NewTextHandler(&lines, nil)), &fakeControl{}, nil)
	call := func(method, target string) {
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(method, target, nil))
	}
	for range 3 {
		call("GET", "/v1/meters/a")
		call("GET", "/v1/meters/b")
		call("POST", "/v1/meters/a")
	}
	require.Equal(t, 1, strings.Count(lines.String(), `call="GET v1/meters"`))
	require.Equal(t, 1, strings.Count(lines.String(), `call="POST v1/meters"`))
	for i := range 2 * maxUnknownCalls {
		call("GET", fmt.Sprintf("/v2/%d", i))
	}
	call("GET", "/v3/"+strings.Repeat("x", maxUnknownCallBytes))
	require.Equal(t, maxUnknownCalls, strings.Count(lines.String(), "call that does not exist"))
}
