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

func query(key string) *messenger.Envelope {
	return &messenger.Envelope{Body: &messenger.Envelope_ClaimCommit{ClaimCommit: &messenger.ClaimCommit{Key: key}}}
}

// echo answers a query with its key, odd ones late.
func echo(tb testing.TB) string {
	tb.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	mul := &multiplexer.Multiplexer{Handler: func(_ context.Context, env *messenger.Envelope) *messenger.Envelope {
		key := env.GetClaimCommit().GetKey()
		if num, err := strconv.Atoi(key); err == nil && num%2 == 1 {
			time.Sleep(5 * time.Millisecond)
		}
		return &messenger.Envelope{Body: &messenger.Envelope_ClaimResult{ClaimResult: &messenger.ClaimResult{Message: key}}}
	}}
	don := make(chan struct{})
	go func() {
		defer close(don)
		_ = mul.Serve(lis)
	}()
	tb.Cleanup(func() {
		lis.Close()
		mul.Close()
		<-don
	})
	return lis.Addr().String()
}

// Calls of one session get their own replies, in whatever order they come.
func TestCallsShareAStream(t *testing.T) {
	add := echo(t)
	var mul multiplexer.Multiplexer
	defer mul.Close()
	ctx, stop := context.WithTimeout(t.Context(), 5*silenceBound)
	defer stop()
	var gro sync.WaitGroup
	for num := range 500 {
		gro.Go(func() {
			key := strconv.Itoa(num)
			if num%50 == 0 {
				key = strings.Repeat("x", 100_000) + key
			}
			rep, err := mul.Call(ctx, add, query(key))
			if err != nil || rep.GetClaimResult().GetMessage() != key {
				t.Errorf("call %d: %v", num, err)
			}
		})
	}
	gro.Wait()
	require.Equal(t, 1, mul.Sessions())
}

// A call that is given up ends at the peer, and the others go on.
func TestCallGivenUp(t *testing.T) {
	var held atomic.Int64
	add := serve(t, &held)
	var mul multiplexer.Multiplexer
	defer mul.Close()
	ctx, cancel := context.WithCancel(t.Context())
	err := make(chan error, 1)
	go func() {
		_, one := mul.Call(ctx, add, query("held"))
		err <- one
	}()
	require.Eventually(t, func() bool { return held.Load() == 1 }, silenceBound, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-err, context.Canceled)
	require.Eventually(t, func() bool { return held.Load() == 0 }, silenceBound, time.Millisecond)
	_, one := mul.Call(t.Context(), add, ping())
	require.NoError(t, one)
}

// A peer of another version is named in the error of the call.
func TestCallOfAnotherVersion(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer lis.Close()
	don := make(chan struct{})
	go func() {
		defer close(don)
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
		time.Sleep(50 * time.Millisecond)
	}()
	var mul multiplexer.Multiplexer
	defer mul.Close()
	_, err = mul.Call(t.Context(), lis.Addr().String(), ping())
	require.ErrorContains(t, err, "speaks version 7")
	<-don
}

// BenchmarkCall reports the time and the bytes of a call, one after the other
// and many at a time.
func BenchmarkCall(b *testing.B) {
	add := echo(b)
	for _, par := range []int{1, 100} {
		b.Run(strconv.Itoa(par), func(b *testing.B) {
			var mul multiplexer.Multiplexer
			defer mul.Close()
			b.ReportAllocs()
			b.SetParallelism(par)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := mul.Call(context.Background(), add, query("key")); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(mul.Bytes())/float64(b.N), "B/call")
		})
	}
}
