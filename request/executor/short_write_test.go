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
	"hemlockpin/version/matcher"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

// impatientWriter gives the body a short time from its head on.
type impatientWriter struct{ http.ResponseWriter }

func (wri impatientWriter) WriteHeader(status int) {
	_ = http.NewResponseController(wri.ResponseWriter).SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	wri.ResponseWriter.WriteHeader(status)
}

func (wri impatientWriter) Unwrap() http.ResponseWriter { return wri.ResponseWriter }

// TestShortWriteOfReplyWithoutFrame guards against a reply without a frame that the host could
// not write completely being closed as if it were complete: its connection has to be reset.
func TestShortWriteOfReplyWithoutFrame(t *testing.T) {
	body := strings.Repeat("x", 12<<20)
	exe := newExecutor(replyTo(t, "HTTP/1.1 200 X\r\n\r\n"+body), &claimsRecorder{})
	tab := serviceTables().Tables()
	tab.Routes[0].TimeLimit = parser.Duration(time.Minute)
	mat, written := matcher.New(tab), make(chan struct{})
	ser := httptest.NewUnstartedServer(http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
		defer close(written)
		exe.Call(htr.Context(), impatientWriter{wri}, htr, mat)
	}))
	ser.Config.ConnContext = acceptor.ConnContext
	ser.Start()
	defer ser.Close()
	con, err := net.Dial("tcp", ser.Listener.Addr().String())
	require.NoError(t, err)
	defer con.Close()
	_, err = fmt.Fprintf(con, "POST /bookings HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: %s\r\nContent-Length: 4\r\n\r\nslot", bearer, receiver.KeyHeader, newKey())
	require.NoError(t, err)
	<-written
	require.NoError(t, con.SetReadDeadline(time.Now().Add(time.Minute)))
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	require.NoError(t, err)
	defer res.Body.Close()
	require.Equal(t, http.StatusOK, res.StatusCode)
	buf, err := io.ReadAll(res.Body)
	require.Less(t, len(buf), len(body))
	require.Error(t, err, "%d of %d bytes look complete", len(buf), len(body))
}
