package multiplexer_test

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/multiplexer"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
)

func claimCommit(key string) *messenger.Envelope {
	return &messenger.Envelope{Body: &messenger.Envelope_ClaimCommit{ClaimCommit: &messenger.ClaimCommit{Key: key}}}
}

// echo serves calls that return the key of the ClaimCommit; odd keys are answered
// after 5 ms.
func echo(tb testing.TB) string {
	tb.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	mul := &multiplexer.Multiplexer{Handler: func(_ context.Context, env *messenger.Envelope) *messenger.Envelope {
		key := env.GetClaimCommit().GetKey()
		if n, err := strconv.Atoi(key); err == nil && n%2 == 1 {
			time.Sleep(5 * time.Millisecond)
		}
		return &messenger.Envelope{Body: &messenger.Envelope_ClaimResult{ClaimResult: &messenger.ClaimResult{Message: key}}}
	}}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = mul.Serve(lis)
	}()
	tb.Cleanup(func() {
		lis.Close()
		mul.Close()
		<-stopped
	})
	return lis.Addr().String()
}

// TestCallsShareAStream sends concurrent calls on one session, some too large for the
// shared stream. Each must get its own reply, whatever the order of the replies.
func TestCallsShareAStream(t *testing.T) {
	address := echo(t)
	var mul multiplexer.Multiplexer
	defer mul.Close()
	ctx, stop := context.WithTimeout(t.Context(), 5*detectionLimit)
	defer stop()
	var group sync.WaitGroup
	for n := range 500 {
		group.Go(func() {
			key := strconv.Itoa(n)
			if n%50 == 0 {
				key = strings.Repeat("x", 100_000) + key
			}
			rep, err := mul.Call(ctx, address, claimCommit(key))
			if err != nil || rep.GetClaimResult().GetMessage() != key {
				t.Errorf("call %d: %v", n, err)
			}
		})
	}
	group.Wait()
	require.Equal(t, 1, mul.Sessions())
}

// TestCancelledCall cancels a call: it must end at the peer as well, and the session
// must stay usable.
func TestCancelledCall(t *testing.T) {
	var held atomic.Int64
	address := serve(t, &held)
	var mul multiplexer.Multiplexer
	defer mul.Close()
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := mul.Call(ctx, address, claimCommit("held"))
		result <- err
	}()
	require.Eventually(t, func() bool { return held.Load() == 1 }, detectionLimit, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-result, context.Canceled)
	require.Eventually(t, func() bool { return held.Load() == 0 }, detectionLimit, time.Millisecond)
	_, err := mul.Call(t.Context(), address, ping())
	require.NoError(t, err)
}

// TestCallRefusedByVersion calls a peer that refuses the stream because of its
// protocol version. The error of the call must contain the refusal.
func TestCallRefusedByVersion(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		con, err := lis.Accept()
		if err != nil {
			return
		}
		ses, _ := yamux.Server(con, nil)
		defer ses.Close()
		str, err := ses.AcceptStream()
		if err != nil {
			return
		}
		_, _ = messenger.Read(str)
		_ = messenger.Write(str, messenger.NewFailure("protocol_version", "speaks version 7"))
		str.Close()
		// Keeps the session open for 50 ms after the refusal is sent.
		time.Sleep(50 * time.Millisecond)
	}()
	var mul multiplexer.Multiplexer
	defer mul.Close()
	_, err = mul.Call(t.Context(), lis.Addr().String(), ping())
	require.ErrorContains(t, err, "speaks version 7")
	<-stopped
}

// BenchmarkCall reports the time and the bytes of a call, for sequential and for
// concurrent calls.
func BenchmarkCall(b *testing.B) {
	address := echo(b)
	for _, parallelism := range []int{1, 100} {
		b.Run(strconv.Itoa(parallelism), func(b *testing.B) {
			var mul multiplexer.Multiplexer
			defer mul.Close()
			b.ReportAllocs()
			b.SetParallelism(parallelism)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := mul.Call(context.Background(), address, claimCommit("key")); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(mul.Bytes())/float64(b.N), "B/call")
		})
	}
}
