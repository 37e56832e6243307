package inspector

import (
	"io"
	"strings"
	"testing"

	"hemlockpin/connection/rationer"

	"github.com/stretchr/testify/require"
)

// limitedMemory is a memory with a limit.
type limitedMemory struct{ limit, reserved int64 }

func (mem *limitedMemory) Reserve(bytes int64) bool {
	if mem.reserved+bytes > mem.limit {
		return false
	}
	mem.reserved += bytes
	return true
}

func (mem *limitedMemory) Release(bytes int64) { mem.reserved -= bytes }

// TestHeadMemory guards against large heads of many answers that together take more memory than
// there is, and against ordinary answers that fail because of them.
func TestHeadMemory(t *testing.T) {
	mem := &limitedMemory{limit: 1 << 20}
	var cons []*Conn
	answer := func(fields int, trailer string) *Conn {
		text := "HTTP/1.1 200 X\r\n" + strings.Repeat("a:\r\n", fields) + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + trailer + "\r\n"
		raw := &scriptedConn{received: []string{text[:len(text)/2], text[len(text)/2:], "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"}}
		cons = append(cons, New(raw, mem))
		return cons[len(cons)-1]
	}
	read := func(con *Conn, size int) error {
		_, err := con.Read(make([]byte, size))
		if err == nil {
			_, err = con.Read(make([]byte, size))
		}
		return err
	}
	const size = 32 << 10
	large := answer(2000, "")
	require.NoError(t, read(large, size))
	require.Greater(t, mem.reserved, int64(2000*headFieldCost))
	require.ErrorIs(t, read(answer(2000, ""), size), rationer.ErrExhausted)
	require.ErrorIs(t, read(answer(3, strings.Repeat("a:\r\n", 2000)), size), rationer.ErrExhausted)
	require.LessOrEqual(t, mem.reserved, mem.limit)
	require.NoError(t, read(answer(20, ""), size), "an ordinary answer")

	slow := New(&textConn{text: strings.NewReader("HTTP/1.1 200 X\r\n" + strings.Repeat("Name: value\r\n", 20) + "\r\n"), size: 1}, &limitedMemory{})
	_, err := io.ReadAll(slow)
	require.NoError(t, err, "an ordinary answer, byte by byte")

	held := mem.reserved
	_, err = io.WriteString(large, "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n")
	require.NoError(t, err)
	_, err = large.Read(make([]byte, size))
	require.NoError(t, err)
	require.Less(t, mem.reserved, held-2000*headFieldCost, "the next answer gives the memory back")
	for _, con := range cons {
		con.Close()
		con.Close()
	}
	require.Zero(t, mem.reserved)
}
