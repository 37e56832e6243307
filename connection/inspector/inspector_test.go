package inspector

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// scriptedConn is a connection whose reads and writes follow a script.
type scriptedConn struct {
	net.Conn
	// received are the texts that are read next; then the connection ends.
	received []string
	// writeTime is the time that a write takes, writeErr its result.
	writeTime time.Duration
	writeErr  error
	// deadline is closed when writes must end.
	deadline chan struct{}
}

func (con *scriptedConn) Read(buf []byte) (int, error) {
	if len(con.received) == 0 {
		return 0, io.EOF
	}
	n := copy(buf, con.received[0])
	con.received = con.received[1:]
	return n, nil
}

func (con *scriptedConn) Write(buf []byte) (int, error) {
	err := con.writeErr
	select {
	case <-time.After(con.writeTime):
		return len(buf), err
	case <-con.deadline:
		return 0, os.ErrDeadlineExceeded
	}
}

func (con *scriptedConn) Close() error { return nil }

func (con *scriptedConn) SetWriteDeadline(time.Time) error {
	close(con.deadline)
	return nil
}

// TestConversations reads answers from a connection while requests are written on it. Each line of
// the input is a step: "write" writes a text, and "upload 20ms" one in the background, which takes
// that time; "reset" lets the writes after it fail; "receive" adds a text to what is read, and
// "read" reads up to the end of the connection. Times are those of a clock of the test.
func TestConversations(t *testing.T) {
	unescape := strings.NewReplacer(`\r`, "\r", `\n`, "\n", `\0`, "\x00")
	datadriven.RunTest(t, "testdata/conversations", func(t *testing.T, dat *datadriven.TestData) string {
		var out strings.Builder
		synctest.Test(t, func(t *testing.T) {
			raw := &scriptedConn{deadline: make(chan struct{})}
			con := New(raw, nil)
			var uploads sync.WaitGroup
			defer uploads.Wait()
			for line := range strings.SplitSeq(dat.Input, "\n") {
				step, text, _ := strings.Cut(line, " ")
				switch text = unescape.Replace(text); step {
				case "write":
					_, err := io.WriteString(con, text)
					fmt.Fprintf(&out, "write: %v\n", err)
				case "upload":
					duration, rest, _ := strings.Cut(text, " ")
					var err error
					raw.writeTime, err = time.ParseDuration(duration)
					require.NoError(t, err)
					uploads.Go(func() { _, _ = io.WriteString(con, rest) })
					synctest.Wait()
				case "reset":
					raw.writeErr = errors.New("reset by peer")
				case "receive":
					raw.received = append(raw.received, text)
				case "read":
					start := time.Now()
					got, err := io.ReadAll(con)
					fmt.Fprintf(&out, "read: %q %v", got, err)
					if after := time.Since(start); after > 0 {
						fmt.Fprintf(&out, ", after %s", after)
					}
					out.WriteString("\n")
				default:
					t.Fatalf("unknown step %q", step)
				}
			}
		})
		return out.String()
	})
}
