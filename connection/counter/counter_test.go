package counter_test

import (
	"io"
	"net"
	"testing"

	"hemlockpin/connection/counter"

	"github.com/stretchr/testify/require"
)

func TestTraffic(t *testing.T) {
	var tra counter.Traffic
	one, two := net.Pipe()
	con := tra.Wrap(one)
	go func() {
		_, _ = io.ReadFull(two, make([]byte, 5))
		_, _ = two.Write([]byte("abc"))
		two.Close()
	}()
	_, err := con.Write([]byte("hello"))
	require.NoError(t, err)
	_, err = io.ReadAll(con)
	require.NoError(t, err)
	require.Equal(t, counter.Totals{Sent: 5, Received: 3, Opened: 1}, tra.Totals())
	require.Equal(t, one, (*counter.Traffic)(nil).Wrap(one))
	require.Zero(t, (*counter.Traffic)(nil).Totals())
}
