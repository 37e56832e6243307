package multiplexer_test

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/multiplexer"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
)

// TestUnencodableEnvelope guards against one envelope that can't be encoded, such as one with
// text of a caller that is no UTF-8, that breaks off the other calls of its session. Only its
// own call may fail, at once, also if the envelope is the reply.
func TestUnencodableEnvelope(t *testing.T) {
	release := make(chan struct{})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peer := &multiplexer.Multiplexer{Handler: func(_ context.Context, env *messenger.Envelope) *messenger.Envelope {
		key := env.GetClaimCommit().GetKey()
		if key == "slow" {
			<-release
		}
		if key == "invalid reply" {
			key = "\xff"
		}
		return &messenger.Envelope{Body: &messenger.Envelope_ClaimResult{ClaimResult: &messenger.ClaimResult{Message: key}}}
	}}
	go func() { _ = peer.Serve(lis) }()
	defer peer.Close()
	defer lis.Close()
	var mul multiplexer.Multiplexer
	defer mul.Close()
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	slow := make(chan error, 1)
	go func() {
		_, err := mul.Call(ctx, lis.Addr().String(), claimCommit("slow"))
		slow <- err
	}()
	_, err = mul.Call(ctx, lis.Addr().String(), claimCommit("sound"))
	require.NoError(t, err)
	for _, key := range []string{"\xff", "invalid reply"} {
		invalidCtx, stopInvalid := context.WithTimeout(ctx, time.Second)
		_, err = mul.Call(invalidCtx, lis.Addr().String(), claimCommit(key))
		require.Error(t, err)
		require.NoError(t, invalidCtx.Err(), "the call fails at once")
		stopInvalid()
	}
	close(release)
	require.NoError(t, <-slow, "the other calls of the session go on")
	require.Equal(t, 1, mul.Sessions())
}

// TestUndecodableEnvelope guards against one envelope of a peer that can't be decoded and
// breaks off the other calls of its stream.
func TestUndecodableEnvelope(t *testing.T) {
	con, err := net.Dial("tcp", echo(t))
	require.NoError(t, err)
	defer con.Close()
	ses, err := yamux.Client(con, nil)
	require.NoError(t, err)
	defer ses.Close()
	str, err := ses.OpenStream()
	require.NoError(t, err)
	require.NoError(t, str.SetDeadline(time.Now().Add(5*time.Second)))
	for number := uint64(1); number <= 3; number++ {
		env := claimCommit("2")
		env.Call = number
		require.NoError(t, messenger.Write(str, env))
		invalid := []byte{0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff}
		binary.BigEndian.PutUint32(invalid, 4)
		_, err := str.Write(invalid)
		require.NoError(t, err)
		rep, err := messenger.Read(str)
		require.NoError(t, err)
		require.Equal(t, number, rep.GetCall())
	}
}
