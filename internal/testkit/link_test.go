package testkit_test

import (
	"io"
	"net"
	"testing"
	"time"

	"hemlockpin/internal/testkit"

	"github.com/stretchr/testify/require"
)

const echoTimeout = 300 * time.Millisecond

func echo(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(con, con) }()
		}
	}()
	return lis.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	con, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { con.Close() })
	return con
}

func answers(t *testing.T, con net.Conn) bool {
	t.Helper()
	_, err := con.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, con.SetReadDeadline(time.Now().Add(echoTimeout)))
	var buf [1]byte
	_, err = io.ReadFull(con, buf[:])
	return err == nil
}

func TestBlackholeEstablished(t *testing.T) {
	lin, err := testkit.NewLink("echo", echo(t))
	require.NoError(t, err)
	t.Cleanup(lin.Close)
	old := dial(t, lin.Address())
	require.True(t, answers(t, old))
	lin.BlackholeEstablished()
	require.False(t, answers(t, old))
	require.True(t, answers(t, dial(t, lin.Address())))
}

func TestBlackholeEstablishedOneWay(t *testing.T) {
	for _, dir := range []testkit.Direction{testkit.Requests, testkit.Answers} {
		lin, err := testkit.NewLink("echo", echo(t))
		require.NoError(t, err)
		t.Cleanup(lin.Close)
		old := dial(t, lin.Address())
		require.True(t, answers(t, old))
		lin.BlackholeEstablished(dir)
		require.False(t, answers(t, old), "%s", dir)
		require.True(t, answers(t, dial(t, lin.Address())))
	}
}

func TestBlockOneWay(t *testing.T) {
	lin, err := testkit.NewLink("echo", echo(t))
	require.NoError(t, err)
	t.Cleanup(lin.Close)
	con := dial(t, lin.Address())
	require.NoError(t, lin.Block(testkit.Answers))
	require.False(t, answers(t, con))
	require.NoError(t, lin.Unblock(testkit.Answers))
	require.True(t, answers(t, dial(t, lin.Address())))
}
