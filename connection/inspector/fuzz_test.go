package inspector

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// textConn is a connection from which a text is read, at most size bytes at a time.
type textConn struct {
	net.Conn
	text io.Reader
	size int
}

func (con *textConn) Read(buf []byte) (int, error) {
	return con.text.Read(buf[:min(len(buf), con.size)])
}

func (con *textConn) Write(buf []byte) (int, error) { return len(buf), nil }

// FuzzFraming checks that an answer whose head is accepted has at most one frame, that net/http
// finds its end where the connection does, and that this doesn't depend on how it is read.
func FuzzFraming(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("\r\n\r\nHTTP/1.1 200 OK\n\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\ndone\r\n0\r\nX-Proof: b\r\n\r\nmore"))
	f.Add([]byte("HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone"))
	f.Fuzz(func(t *testing.T, text []byte) {
		first := ""
		for i, size := range []int{len(text) + 1, 1, 7} {
			con := New(&textConn{text: bytes.NewReader(text), size: size}, nil)
			outcome := readAnswer(t, con)
			if i == 0 {
				first = outcome
			}
			require.Equal(t, first, outcome, "%d bytes at a time", size)
		}
	})
}

// readAnswer reads the answer to a request. It returns its status and body, or "broken".
func readAnswer(t *testing.T, con *Conn) string {
	_, err := io.WriteString(con, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReaderSize(con, 4<<10)
	for {
		res, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet}) //nolint:bodyclose // The source is in memory.
		if err != nil {
			return "broken"
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		require.Equal(t, 1, res.ProtoMajor)
		require.False(t, len(res.TransferEncoding) > 0 && (res.ProtoMinor == 0 || res.ContentLength >= 0))
		body, err := io.ReadAll(res.Body)
		if err != nil {
			return "broken"
		}
		if res.ContentLength > 0 && res.StatusCode != http.StatusNotModified {
			require.Len(t, body, int(res.ContentLength))
		}
		framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.StatusCode == http.StatusNotModified
		require.Equal(t, framed, con.answers.place == afterAnswer)
		return res.Status + " " + string(body)
	}
}
