package errkind

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// timedOutRead gives the error of a read whose deadline has passed on a real socket.
func timedOutRead(t *testing.T) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	require.NoError(t, connection.SetReadDeadline(time.Unix(1, 0)))
	_, err = connection.Read(make([]byte, 1))
	require.Error(t, err)
	return err
}

func TestOfBody_Error_HasTheKindOfItsCause(t *testing.T) {
	_, tooLarge := io.ReadAll(http.MaxBytesReader(httptest.NewRecorder(), io.NopCloser(strings.NewReader("12345")), 4))
	timedOut := timedOutRead(t)
	for _, x := range []struct {
		name string
		err  error
		want Kind
	}{
		{"no error", nil, None},
		{"over the limit", tooLarge, BodyTooLarge},
		{"over the limit, wrapped", errors.Wrap(tooLarge, "body"), BodyTooLarge},
		{"deadline of a socket", timedOut, ClientTimeout},
		{"deadline of a socket, wrapped", errors.Wrap(timedOut, "body"), ClientTimeout},
		{"end within the body", io.ErrUnexpectedEOF, InvalidInput},
		{"a text that speaks of a timeout", errors.New("invalid chunk: timeout too large"), InvalidInput},
	} {
		require.Equal(t, x.want, OfBody(x.err), x.name)
	}
}
