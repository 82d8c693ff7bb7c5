package upstream

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRequestURL_RawTargets_WrittenUnchangedOrNotForwarded(t *testing.T) {
	for raw, canForward := range map[string]bool{
		"/a/b?c=d":         true,
		"/a/%2e%2e/b":      true,
		"/a/%zz":           true,
		"/a?":              true,
		"//a/b":            true,
		"//a/b?c=d":        true,
		"//a/b?":           true,
		"//a/%2f%41":       true,
		"//a/%zz":          false,
		"/a//b":            true,
		"http://h/a":       true,
		"/a/b;c?d=%20&e=+": true,
	} {
		require.Equal(t, canForward, CanForward(raw), raw)
		if !canForward {
			continue
		}
		r := &Request{Method: http.MethodPost, Target: raw, Host: "h", Header: http.Header{}, Body: []byte("x")}
		var b bytes.Buffer
		require.NoError(t, r.http().Write(&b))
		line, err := bufio.NewReader(&b).ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "POST "+raw+" HTTP/1.1\r\n", line)
	}
}
