package executor

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hemlockpin/connection/messenger"
	"hemlockpin/request/receiver"

	"github.com/stretchr/testify/require"
)

// replyTo serves one connection after another with a fixed reply and closes it.
func replyTo(t *testing.T, reply string) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			_, _ = con.Read(make([]byte, 4<<10))
			fmt.Fprint(con, reply)
			con.Close()
		}
	}()
	return lis.Addr().String()
}

// TestReplyWithoutFrame guards against the reply of a service that ends with its connection,
// and so may have broken off, getting a frame from the host or being kept for repeats.
func TestReplyWithoutFrame(t *testing.T) {
	for headers, framed := range map[string]bool{"": false, "Content-Length: 4\r\n": true} {
		t.Run(fmt.Sprint("framed ", framed), func(t *testing.T) {
			cla := &claimsRecorder{}
			exe := newExecutor(replyTo(t, "HTTP/1.1 200 X\r\n"+headers+"\r\ndone"), cla)
			ser := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, htr *http.Request) {
				exe.Call(htr.Context(), wri, htr, serviceTables())
			}))
			defer ser.Close()
			req, err := http.NewRequest(http.MethodPost, ser.URL+"/bookings", strings.NewReader("slot"))
			require.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+bearer)
			req.Header.Set(receiver.KeyHeader, newKey())
			res, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer res.Body.Close()
			body, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			require.Equal(t, "done", string(body))
			require.Equal(t, framed, res.ContentLength >= 0 || len(res.TransferEncoding) > 0)
			require.Equal(t, !framed, cla.outcome.GetTruncated())
		})
	}
}

// claimsRecorder keeps the outcome of the last call.
type claimsRecorder struct {
	claimsStub
	outcome *messenger.Outcome
}

func (cla *claimsRecorder) Settle(com *messenger.ClaimCommit) <-chan struct{} {
	cla.outcome = com.GetOutcome()
	done := make(chan struct{})
	close(done)
	return done
}
