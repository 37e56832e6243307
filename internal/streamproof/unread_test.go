package streamproof_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"hemlockpin/internal/testkit"

	"github.com/stretchr/testify/require"
)

// receiveBuffer keeps the kernel from taking in a whole answer by itself.
const receiveBuffer = 4 << 10

// openUnread asks over a connection that is then never read.
func openUnread(t *testing.T, hos *testkit.Process, hea http.Header, tokens int64) net.Conn {
	t.Helper()
	con, err := net.Dial("tcp", hos.Address)
	require.NoError(t, err)
	require.NoError(t, con.(*net.TCPConn).SetReadBuffer(receiveBuffer))
	bod := fmt.Sprintf(`{"model":%q,"prompt":"A caller that does not read","max_tokens":%d,"stream":true}`, testkit.Model, tokens)
	_, err = fmt.Fprintf(con, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n", len(bod))
	require.NoError(t, err)
	require.NoError(t, hea.Write(con))
	_, err = fmt.Fprintf(con, "\r\n%s", bod)
	require.NoError(t, err)
	return con
}
