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

// TestUnacknowledgedStream opens a stream that the peer, which may be suspended, does not
// accept. The session must stay open: if yamux closed it, its stream readers would poll in
// a busy loop, on a host with one core until the scheduler preempts them, and on a clock
// that stands still without end.
func TestUnacknowledgedStream(t *testing.T) {
	require.Zero(t, sessionConfig().StreamOpenTimeout, "yamux waits for the peer without a limit")
	local, peer := net.Pipe()
	srv, err := newAcceptedLink(peer)
	require.NoError(t, err)
	defer srv.Close()
	lin, err := newDialedLink(local)
	require.NoError(t, err)
	defer lin.Close()
	ses := &session{link: lin}
	_, err = ses.pipeline()
	require.NoError(t, err)
	require.Never(t, lin.IsClosed, 2500*time.Millisecond, 100*time.Millisecond)
}

// slowClose is a connection whose first Close blocks until release is closed.
type slowClose struct {
	net.Conn
	once        sync.Once
	closeCalled chan struct{}
	release     chan struct{}
}

func (slo *slowClose) Close() error {
	slo.once.Do(func() {
		close(slo.closeCalled)
		<-slo.release
	})
	return slo.Conn.Close()
}

// brokenWrite is a connection whose writes fail once broken is closed.
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

// readerStates returns the states of the goroutines that read yamux streams.
func readerStates() []string {
	buf := make([]byte, 1<<20)
	var out []string
	for goroutine := range strings.SplitSeq(string(buf[:runtime.Stack(buf, true)]), "\n\n") {
		if strings.Contains(goroutine, "yamux.(*Stream).Read") {
			state := goroutine[strings.Index(goroutine, "[")+1:]
			out = append(out, state[:strings.IndexAny(state, ",]")])
		}
	}
	return out
}

// TestCloseWakesNoReaders closes a session whose connection takes long to close. The
// stream readers must stay blocked meanwhile: if the yamux session is closed before
// its connection, they poll in a busy loop and occupy a host with one core for a whole
// time slice.
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
			local, peer := net.Pipe()
			srv, err := newAcceptedLink(peer)
			require.NoError(t, err)
			defer srv.Close()
			slo := &slowClose{Conn: local, closeCalled: make(chan struct{}), release: make(chan struct{})}
			bro := brokenWrite{slo, make(chan struct{})}
			lin, err := newDialedLink(bro)
			require.NoError(t, err)
			ses := &session{link: lin}
			_, err = ses.pipeline()
			require.NoError(t, err)
			require.Eventually(t, func() bool { return len(readerStates()) == 1 }, 5*time.Second, time.Millisecond)
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				tt.close(ses, bro)
			}()
			<-slo.closeCalled
			for range 20 {
				require.Equal(t, []string{"select"}, readerStates(), "a stream reader polls instead of blocking")
				time.Sleep(time.Millisecond)
			}
			close(slo.release)
			<-stopped
			<-lin.CloseChan()
			require.Eventually(t, func() bool { return len(readerStates()) == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}
