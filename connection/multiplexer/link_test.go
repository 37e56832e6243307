package multiplexer

import (
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowClose is a connection whose first Close waits to be let go.
type slowClose struct {
	net.Conn
	once   sync.Once
	closes chan struct{}
	hold   chan struct{}
}

func (slo *slowClose) Close() error {
	slo.once.Do(func() {
		close(slo.closes)
		<-slo.hold
	})
	return slo.Conn.Close()
}

// brokenWrite is a connection that can't be written to any more once it is broken.
type brokenWrite struct {
	*slowClose
	broken chan struct{}
}

func (bro brokenWrite) Write(buf []byte) (int, error) {
	select {
	case <-bro.broken:
		return 0, net.ErrClosed
	default:
		return bro.slowClose.Write(buf)
	}
}

// readers returns the states of the goroutines that read streams.
func readers() []string {
	buf := make([]byte, 1<<20)
	var out []string
	for gor := range strings.SplitSeq(string(buf[:runtime.Stack(buf, true)]), "\n\n") {
		if strings.Contains(gor, "yamux.(*Stream).Read") {
			sta := gor[strings.Index(gor, "[")+1:]
			out = append(out, sta[:strings.IndexAny(sta, ",]")])
		}
	}
	return out
}

// TestCloseWakesNoReaders closes a session whose connection takes long to close: the
// readers of its streams wait meanwhile instead of polling.
func TestCloseWakesNoReaders(t *testing.T) {
	tts := []struct {
		name  string
		close func(ses *session, bro brokenWrite)
	}{
		{"closed by this host", func(ses *session, _ brokenWrite) { ses.Close() }},
		{"connection can't be written to", func(ses *session, bro brokenWrite) {
			close(bro.broken)
			_, _ = ses.Ping()
		}},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			own, peer := net.Pipe()
			srv, err := accepted(peer)
			require.NoError(t, err)
			defer srv.Close()
			slo := &slowClose{Conn: own, closes: make(chan struct{}), hold: make(chan struct{})}
			bro := brokenWrite{slo, make(chan struct{})}
			lin, err := dialed(bro)
			require.NoError(t, err)
			ses := &session{link: lin}
			_, err = ses.pipeline()
			require.NoError(t, err)
			require.Eventually(t, func() bool { return len(readers()) == 1 }, 5*time.Second, time.Millisecond)
			don := make(chan struct{})
			go func() {
				defer close(don)
				tt.close(ses, bro)
			}()
			<-slo.closes
			for range 20 {
				require.Equal(t, []string{"select"}, readers(), "a reader that polls is runnable")
				time.Sleep(time.Millisecond)
			}
			close(slo.hold)
			<-don
			<-lin.CloseChan()
			require.Eventually(t, func() bool { return len(readers()) == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}
