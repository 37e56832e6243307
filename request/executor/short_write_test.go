package executor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hemlockpin/connection/acceptor"
	"hemlockpin/request/receiver"

	"github.com/stretchr/testify/require"
)

// TestShortWriteOfReplyWithoutFrame guards against a reply without a frame that the host could
// not write completely being closed as if it were complete: its connection has to be reset.
func TestShortWriteOfReplyWithoutFrame(t *testing.T) {
	body := strings.Repeat("x", 12<<20)
	exe := newExecutor(replyTo(t, "HTTP/1.1 200 X\r\n\r\n"+body), &claimsRecorder{})
	ser := httptest.NewUnstartedServer(http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		exe.Call(htr.Context(), wri, htr, serviceTables())
	}))
	ser.Config.WriteTimeout = 600 * time.Millisecond
	ser.Config.ConnContext = acceptor.ConnContext
	ser.Start()
	defer ser.Close()
	con, err := net.Dial("tcp", ser.Listener.Addr().String())
	require.NoError(t, err)
	defer con.Close()
	_, err = fmt.Fprintf(con, "POST /bookings HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: %s\r\nContent-Length: 4\r\n\r\nslot", bearer, receiver.KeyHeader, newKey())
	require.NoError(t, err)
	time.Sleep(1200 * time.Millisecond)
	require.NoError(t, con.SetReadDeadline(time.Now().Add(waitTimeout)))
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	require.NoError(t, err)
	defer res.Body.Close()
	buf, err := io.ReadAll(res.Body)
	require.Less(t, len(buf), len(body))
	require.Error(t, err, "%d of %d bytes look complete", len(buf), len(body))
}
