package streamproof_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"hemlockpin/internal/testkit"

	"github.com/stretchr/testify/require"
)

// receiveBuffer is so small (in bytes) that the kernel can't buffer a complete
// answer.
const receiveBuffer = 4 << 10

// askWithoutReading sends a prompt and returns the connection without reading the
// response.
func askWithoutReading(t *testing.T, host *testkit.Process, hea http.Header, tokens int64) net.Conn {
	t.Helper()
	con, err := net.Dial("tcp", host.Address)
	require.NoError(t, err)
	require.NoError(t, con.(*net.TCPConn).SetReadBuffer(receiveBuffer))
	body := fmt.Sprintf(`{"model":%q,"prompt":"A caller that does not read","max_tokens":%d,"stream":true}`, testkit.Model, tokens)
	_, err = fmt.Fprintf(con, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n", len(body))
	require.NoError(t, err)
	require.NoError(t, hea.Write(con))
	_, err = fmt.Fprintf(con, "\r\n%s", body)
	require.NoError(t, err)
	return con
}
