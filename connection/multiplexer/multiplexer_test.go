package multiplexer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/multiplexer"
	"hemlockpin/internal/testkit"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

const silenceBound = 3 * time.Second

func done() *messenger.Envelope {
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

// serve answers pings at once and holds every other call until it is given up.
func serve(t *testing.T, held *atomic.Int64) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mul := &multiplexer.Multiplexer{Handler: func(ctx context.Context, env *messenger.Envelope) *messenger.Envelope {
		if env.GetPing() != nil {
			return done()
		}
		held.Add(1)
		defer held.Add(-1)
		<-ctx.Done()
		return nil
	}}
	don := make(chan struct{})
	go func() {
		defer close(don)
		_ = mul.Serve(lis)
	}()
	t.Cleanup(func() {
		lis.Close()
		mul.Close()
		<-don
	})
	return lis.Addr().String()
}

func ping() *messenger.Envelope {
	return &messenger.Envelope{Body: &messenger.Envelope_Ping{Ping: &messenger.Ping{}}}
}

func block(dir testkit.Direction) func(*testkit.Link) error {
	return func(lin *testkit.Link) error { return lin.Block(dir) }
}

func unblock(dir testkit.Direction) func(*testkit.Link) error {
	return func(lin *testkit.Link) error { return lin.Unblock(dir) }
}

func TestSilentSession(t *testing.T) {
	tts := []struct {
		name  string
		fault func(*testkit.Link) error
		mend  func(*testkit.Link) error
	}{
		{"established connections silent", func(lin *testkit.Link) error { lin.SilenceEstablished(); return nil }, func(*testkit.Link) error { return nil }},
		{"requests of established connections lost", func(lin *testkit.Link) error { lin.SilenceEstablished(testkit.Requests); return nil }, func(*testkit.Link) error { return nil }},
		{"answers of established connections lost", func(lin *testkit.Link) error { lin.SilenceEstablished(testkit.Answers); return nil }, func(*testkit.Link) error { return nil }},
		{"requests lost", block(testkit.Requests), unblock(testkit.Requests)},
		{"answers lost", block(testkit.Answers), unblock(testkit.Answers)},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			var held atomic.Int64
			lin, err := testkit.NewLink(tt.name, serve(t, &held))
			require.NoError(t, err)
			t.Cleanup(lin.Close)
			mul := &multiplexer.Multiplexer{}
			t.Cleanup(mul.Close)
			ctx, stop := context.WithTimeout(t.Context(), time.Minute)
			defer stop()
			res := make(chan error, 1)
			go func() {
				_, err := mul.Call(ctx, lin.Address(), done())
				res <- err
			}()
			require.Eventually(t, func() bool { return held.Load() == 1 }, silenceBound, time.Millisecond)
			require.NoError(t, tt.fault(lin))
			// A call without an answer ends because its session does.
			select {
			case err := <-res:
				require.Error(t, err)
			case <-time.After(silenceBound):
				require.Fail(t, "the silent session was not found")
			}
			require.NoError(t, tt.mend(lin))
			_, err = mul.Call(ctx, lin.Address(), ping())
			require.NoError(t, err)
			// The host at the other end gives the call up as well.
			require.Eventually(t, func() bool { return held.Load() == 0 }, silenceBound, 10*time.Millisecond)
		})
	}
}

// A slow call on a session that answers heartbeats is not disturbed by the
// timeout of another.
func TestTimeoutLeavesOtherCalls(t *testing.T) {
	var held atomic.Int64
	add := serve(t, &held)
	mul := &multiplexer.Multiplexer{}
	defer mul.Close()
	long, stop := context.WithCancel(t.Context())
	res := make(chan error, 1)
	go func() {
		_, err := mul.Call(long, add, done())
		res <- err
	}()
	require.Eventually(t, func() bool { return held.Load() == 1 }, silenceBound, time.Millisecond)
	short, end := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer end()
	_, err := mul.Call(short, add, done())
	require.Error(t, err)
	_, err = mul.Call(t.Context(), add, ping())
	require.NoError(t, err)
	select {
	case err := <-res:
		require.Fail(t, "the slow call ended", "%v", err)
	case <-time.After(2 * time.Second):
	}
	stop()
	require.ErrorIs(t, <-res, context.Canceled)
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestHandlerPanics has a handler panic on one message, on a shared stream and on one of
// its own: the caller is told, the panic is noted, and the next call is answered.
func TestHandlerPanics(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var noted atomic.Int64
	srv := &multiplexer.Multiplexer{
		Handler: func(_ context.Context, env *messenger.Envelope) *messenger.Envelope {
			if env.GetPing() == nil {
				panic("a message that nobody thought of")
			}
			return done()
		},
		OnPanic: func(*messenger.Envelope, any, []byte) { noted.Add(1) },
	}
	go func() { _ = srv.Serve(lis) }()
	defer srv.Close()
	defer lis.Close()
	mul := &multiplexer.Multiplexer{}
	defer mul.Close()
	large := &messenger.Envelope{Body: &messenger.Envelope_TablesPush{TablesPush: &messenger.TablesPush{Document: make([]byte, 64<<10)}}}
	for ind, env := range []*messenger.Envelope{done(), large} {
		_, err = mul.Call(t.Context(), lis.Addr().String(), env)
		require.ErrorContains(t, err, "internal")
		require.EqualValues(t, ind+1, noted.Load())
		_, err = mul.Call(t.Context(), lis.Addr().String(), ping())
		require.NoError(t, err)
	}
}
