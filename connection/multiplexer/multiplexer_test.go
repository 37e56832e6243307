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

// detectionLimit bounds the wait for the detection of an unresponsive session. It is
// above heartbeatInterval + heartbeatTimeout.
const detectionLimit = 3 * time.Second

func doneEnvelope() *messenger.Envelope {
	return &messenger.Envelope{Body: &messenger.Envelope_Done{Done: &messenger.Done{}}}
}

// serve answers pings at once and holds every other call open until it is cancelled.
func serve(t *testing.T, held *atomic.Int64) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mul := &multiplexer.Multiplexer{Handler: func(ctx context.Context, env *messenger.Envelope) *messenger.Envelope {
		if env.GetPing() != nil {
			return doneEnvelope()
		}
		held.Add(1)
		defer held.Add(-1)
		<-ctx.Done()
		return nil
	}}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = mul.Serve(lis)
	}()
	t.Cleanup(func() {
		lis.Close()
		mul.Close()
		<-stopped
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

// TestUnresponsiveSession injects a network fault while a call is in progress: the
// heartbeat must end the call at both hosts within detectionLimit, and the next call
// after the repair must succeed.
func TestUnresponsiveSession(t *testing.T) {
	tts := []struct {
		name   string
		fault  func(*testkit.Link) error
		repair func(*testkit.Link) error
	}{
		{"established connections silent", func(lin *testkit.Link) error { lin.BlackholeEstablished(); return nil }, func(*testkit.Link) error { return nil }},
		{"requests of established connections lost", func(lin *testkit.Link) error { lin.BlackholeEstablished(testkit.Requests); return nil }, func(*testkit.Link) error { return nil }},
		{"answers of established connections lost", func(lin *testkit.Link) error { lin.BlackholeEstablished(testkit.Answers); return nil }, func(*testkit.Link) error { return nil }},
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
				_, err := mul.Call(ctx, lin.Address(), doneEnvelope())
				res <- err
			}()
			require.Eventually(t, func() bool { return held.Load() == 1 }, detectionLimit, time.Millisecond)
			require.NoError(t, tt.fault(lin))
			// The call ends because the failed heartbeat closes its session.
			select {
			case err := <-res:
				require.Error(t, err)
			case <-time.After(detectionLimit):
				require.Fail(t, "the unresponsive session was not detected")
			}
			require.NoError(t, tt.repair(lin))
			_, err = mul.Call(ctx, lin.Address(), ping())
			require.NoError(t, err)
			// The call ends at the serving host as well.
			require.Eventually(t, func() bool { return held.Load() == 0 }, detectionLimit, 10*time.Millisecond)
		})
	}
}

// TestTimeoutLeavesOtherCalls lets a call time out. Another call on the same session
// must continue, since the session still answers heartbeats.
func TestTimeoutLeavesOtherCalls(t *testing.T) {
	var held atomic.Int64
	address := serve(t, &held)
	mul := &multiplexer.Multiplexer{}
	defer mul.Close()
	longCtx, cancelLong := context.WithCancel(t.Context())
	res := make(chan error, 1)
	go func() {
		_, err := mul.Call(longCtx, address, doneEnvelope())
		res <- err
	}()
	require.Eventually(t, func() bool { return held.Load() == 1 }, detectionLimit, time.Millisecond)
	shortCtx, cancelShort := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancelShort()
	_, err := mul.Call(shortCtx, address, doneEnvelope())
	require.Error(t, err)
	_, err = mul.Call(t.Context(), address, ping())
	require.NoError(t, err)
	select {
	case err := <-res:
		require.Fail(t, "the other call ended", "%v", err)
	case <-time.After(2 * time.Second):
	}
	cancelLong()
	require.ErrorIs(t, <-res, context.Canceled)
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestHandlerPanics has a handler panic, on the shared stream and on a separate stream.
// The caller must get a failure, OnPanic must be called, and the next call must be
// answered.
func TestHandlerPanics(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var panics atomic.Int64
	srv := &multiplexer.Multiplexer{
		Handler: func(_ context.Context, env *messenger.Envelope) *messenger.Envelope {
			if env.GetPing() == nil {
				panic("unexpected message")
			}
			return doneEnvelope()
		},
		OnPanic: func(*messenger.Envelope, any, []byte) { panics.Add(1) },
	}
	go func() { _ = srv.Serve(lis) }()
	defer srv.Close()
	defer lis.Close()
	mul := &multiplexer.Multiplexer{}
	defer mul.Close()
	large := &messenger.Envelope{Body: &messenger.Envelope_TablesPush{TablesPush: &messenger.TablesPush{Document: make([]byte, 64<<10)}}}
	for i, env := range []*messenger.Envelope{doneEnvelope(), large} {
		_, err = mul.Call(t.Context(), lis.Addr().String(), env)
		require.ErrorContains(t, err, "internal")
		require.EqualValues(t, i+1, panics.Load())
		_, err = mul.Call(t.Context(), lis.Addr().String(), ping())
		require.NoError(t, err)
	}
}
