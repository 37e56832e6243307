// Package answerer is a stand-in for endpoints, the store and hosts that answers with fixed bytes,
// for tests of what reads them.
package answerer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Answer is the text of an answer. $HEADERS stands for further headers, $LENGTH for the length of
// the body, $BODY for the body itself and $CHUNKS for the body in chunks, without the trailer.
type Answer struct{ Name, text string }

// Sound is an answer that is allowed.
var Sound = Answer{"sound", "HTTP/1.1 200 X\r\n$HEADERSContent-Length: $LENGTH\r\n\r\n$BODY"}

// InvalidHeads returns answers in whose heads or trailers a line is not allowed.
func InvalidHeads() []Answer {
	return []Answer{
		{"blank in a name", "HTTP/1.1 200 X\r\n$HEADERSX Plain: 9\r\nContent-Length: $LENGTH\r\n\r\n$BODY"},
		{"blank after a name", "HTTP/1.1 200 X\r\n$HEADERSX-Plain : 9\r\nContent-Length: $LENGTH\r\n\r\n$BODY"},
		{"control character in a name", "HTTP/1.1 200 X\r\n$HEADERSX\x01Plain: 9\r\nContent-Length: $LENGTH\r\n\r\n$BODY"},
		{"folded line", "HTTP/1.1 200 X\r\n$HEADERSX-Plain: 9\r\n 8\r\nContent-Length: $LENGTH\r\n\r\n$BODY"},
		{"blank in a name of an interim answer", "HTTP/1.1 103 X\r\nX Plain: 9\r\n\r\nHTTP/1.1 200 X\r\n$HEADERSContent-Length: $LENGTH\r\n\r\n$BODY"},
		{"blank in a name of the trailer", "HTTP/1.1 200 X\r\n$HEADERSTransfer-Encoding: chunked\r\n\r\n$CHUNKSX Plain: 9\r\n\r\n"},
		{"length after a blank", "HTTP/1.1 200 X\r\n$HEADERSContent-Length : 1\r\n\r\n$BODY"},
		{"chunks of HTTP/1.0", "HTTP/1.0 200 X\r\n$HEADERSTransfer-Encoding: chunked\r\n\r\n$CHUNKS\r\n"},
	}
}

// InvalidStatuses returns answers with a first line that is not allowed.
func InvalidStatuses() []Answer {
	out := []Answer{
		{"interim answer with status 099", "HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 X\r\n$HEADERSContent-Length: $LENGTH\r\n\r\n$BODY"},
		{"control character in the reason", "HTTP/1.1 200 a\x01b\r\n$HEADERSContent-Length: $LENGTH\r\n\r\n$BODY"},
	}
	for _, status := range []string{"000", "-00", "099", "+20", "600", "999", " 200"} {
		out = append(out, Answer{"status " + status, "HTTP/1.1 " + status + " X\r\n$HEADERSContent-Length: $LENGTH\r\n\r\n$BODY"})
	}
	return out
}

// Invalid returns all answers that are not allowed.
func Invalid() []Answer { return append(InvalidHeads(), InvalidStatuses()...) }

// Text returns the answer with headers, each with its line end, and a body.
func (ans Answer) Text(headers, body string) string {
	length, size := strconv.Itoa(len(body)), strconv.FormatInt(int64(len(body)), 16)
	chunks := size + "\r\n" + body + "\r\n0\r\n"
	return strings.NewReplacer("$HEADERS", headers, "$LENGTH", length, "$BODY", body, "$CHUNKS", chunks).Replace(ans.text)
}

// Serve answers the request on each connection with a text and then closes the connection. It
// returns the address.
func Serve(tb testing.TB, text string) string {
	tb.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	tb.Cleanup(func() { lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go answer(con, text)
		}
	}()
	return lis.Addr().String()
}

func answer(con net.Conn, text string) {
	defer con.Close()
	htr, err := http.ReadRequest(bufio.NewReader(con))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, htr.Body)
	_, _ = io.WriteString(con, text)
}
