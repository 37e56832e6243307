// Package answerer is a stand-in for endpoints, the store and hosts that answers with fixed bytes,
// for tests of what reads them.
package answerer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// LargestUpload is the size of a body that exceeds the buffers of two sockets, so that writing it
// blocks until the other side reads.
const LargestUpload = 24 << 20

// UploadBytes are sizes of bodies of requests, from one that is written at once to the largest.
var UploadBytes = []int{4, 20 << 10, 300 << 10, 4 << 20, LargestUpload}

// Resets returns answers with a text to a request with a body of some bytes, which are sent early
// and reset at several moments. After a half close, a reset counts only while the body is written.
func Resets(text string, bodyBytes int) []Early {
	var out []Early
	for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 25 * time.Millisecond} {
		out = append(out, Early{Text: text, Unasked: true, Resets: true, Pause: pause})
		for _, read := range []int{0, bodyBytes / 2} {
			out = append(out, Early{Text: text, Read: int64(read), Resets: true, Pause: pause})
		}
		if bodyBytes >= LargestUpload {
			out = append(out, Early{Text: text, HalfCloses: true, Resets: true, Pause: pause})
		}
	}
	return out
}

// EarlyInvalid returns answers with a status that is not allowed, which are sent before a request with
// a body of some bytes has been read. Some are reset while the body is written.
func EarlyInvalid(bodyBytes int) []Early {
	var out []Early
	for _, frame := range []string{"", "Content-Length: 4\r\n", "Content-Length: 400\r\n"} {
		for _, status := range []string{"000", "099", "600"} {
			text := "HTTP/1.1 " + status + " X\r\n" + frame + "\r\npart"
			out = append(out, Early{Text: text, Read: int64(bodyBytes / 2), HalfCloses: true}, Early{Text: text, Read: int64(bodyBytes / 2), Resets: true, Pause: 5 * time.Millisecond})
		}
	}
	return out
}

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
	for _, status := range []string{"000", "-00", "099", "+20", "600", "999", " 200", "0", "00", "0000", "20", "2000", "0x2", "2e2", "200.0", "20\xff", ""} {
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
	return serve(tb, func(con *net.TCPConn, rea *bufio.Reader) {
		htr, err := http.ReadRequest(rea)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, htr.Body)
		_, _ = io.WriteString(con, text)
	})
}

// Early is an answer that is sent before the request has been read.
type Early struct {
	Text string
	// Unasked says that nothing is read of the request before the answer. Otherwise its head is, and
	// Read bytes of its body.
	Unasked bool
	Read    int64
	// HalfCloses says that the answer ends with a half close. Resets says that the connection is then
	// reset, after Pause; otherwise the rest of the request is read.
	HalfCloses bool
	Resets     bool
	Pause      time.Duration
}

// String names the answer without its text.
func (ear Early) String() string {
	return fmt.Sprintf("unasked %v, %d read, half closed %v, after %s", ear.Unasked, ear.Read, ear.HalfCloses, ear.Pause)
}

// ServeEarly answers the request on each connection early. It returns the address.
func ServeEarly(tb testing.TB, ear Early) string { return serve(tb, ear.answer) }

func (ear Early) answer(con *net.TCPConn, rea *bufio.Reader) {
	for line := ""; line != "\r\n" && !ear.Unasked; {
		var err error
		if line, err = rea.ReadString('\n'); err != nil {
			return
		}
	}
	_, _ = io.CopyN(io.Discard, rea, ear.Read)
	_, _ = io.WriteString(con, ear.Text)
	if ear.HalfCloses {
		_ = con.CloseWrite()
	}
	if !ear.Resets {
		_, _ = io.Copy(io.Discard, rea)
		return
	}
	time.Sleep(ear.Pause)
	_ = con.SetLinger(0)
}

// serve calls answer for each connection, which it then closes.
func serve(tb testing.TB, answer func(con *net.TCPConn, rea *bufio.Reader)) string {
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
			go func() {
				defer con.Close()
				answer(con.(*net.TCPConn), bufio.NewReader(con))
			}()
		}
	}()
	return lis.Addr().String()
}
