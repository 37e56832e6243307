package relayer

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"hemlockpin/connection/rationer"
	"hemlockpin/request/receiver"

	"github.com/stretchr/testify/require"
)

func TestReadEvent(t *testing.T) {
	tests := []struct {
		name, input string
		ids         []string
		raws        []string
		err         error
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, io.EOF},
		{"carriage returns", "id:7\r\ndata: a\r\n\r\n", []string{"7"}, []string{"id:7\r\ndata: a\r\n\r\n"}, io.EOF},
		{"other fields stay", "weight: 3\nid: 4\ndata: a\ndata: b\n\n", []string{"4"}, []string{"weight: 3\nid: 4\ndata: a\ndata: b\n\n"}, io.EOF},
		{"cut within an event", "id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, []string{"id: 1\ndata: a\n\n"}, io.ErrUnexpectedEOF},
		{"cut before the blank line", "id: 1\ndata: a\n", nil, nil, io.ErrUnexpectedEOF},
		{"empty", "", nil, nil, io.EOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rea := bufio.NewReaderSize(strings.NewReader(tt.input), 16)
			var ids, raws []string
			for {
				eve, err := readEvent(rea, &rationer.Buffer{})
				if err != nil {
					require.ErrorIs(t, err, tt.err)
					break
				}
				ids = append(ids, eve.id)
				raws = append(raws, string(eve.raw))
			}
			require.Equal(t, tt.ids, ids)
			require.Equal(t, tt.raws, raws)
		})
	}
}

func TestReadEventTooLarge(t *testing.T) {
	_, err := readEvent(bufio.NewReaderSize(strings.NewReader("data: "+strings.Repeat("x", maxEventBytes+100)), 64), &rationer.Buffer{})
	require.True(t, errors.Is(err, errEventTooLarge), err)
}

func TestFollows(t *testing.T) {
	require.True(t, follows("2", "1"))
	require.True(t, follows("10", "9"))
	require.False(t, follows("9", "9"))
	require.False(t, follows("8", "9"))
	require.True(t, follows("", "9"))
	require.True(t, follows("1", ""))
	require.False(t, follows("a", "a"))
	require.True(t, follows("b", "a"))
}

// TestEventMemory guards against large events in the making that don't count towards the memory for
// bodies, and against ordinary events that fail because others have taken it.
func TestEventMemory(t *testing.T) {
	const limit = 192 << 10
	bud := &receiver.MemoryBudget{MaxBytes: limit}
	large := "data: " + strings.Repeat("x", 20<<10) + "\n\n"
	small := "data: " + strings.Repeat("x", rationer.SmallBytes/2) + "\n\n"
	first := &rationer.Buffer{Memory: bud}
	rea := bufio.NewReaderSize(strings.NewReader(large+small+large), 64)
	eve, err := readEvent(rea, first)
	require.NoError(t, err)
	require.Equal(t, large, string(eve.raw))
	require.GreaterOrEqual(t, bud.Reserved(), int64(len(large)))

	second := &rationer.Buffer{Memory: bud}
	_, err = readEvent(bufio.NewReaderSize(strings.NewReader("data: "+strings.Repeat("x", maxEventBytes-100)), 64), second)
	require.ErrorIs(t, err, rationer.ErrExhausted)
	require.LessOrEqual(t, bud.Reserved(), int64(limit))
	eve, err = readEvent(bufio.NewReaderSize(strings.NewReader(small), 64), &rationer.Buffer{Memory: bud})
	require.NoError(t, err)
	require.Equal(t, small, string(eve.raw))
	second.Release()

	eve, err = readEvent(rea, first)
	require.NoError(t, err)
	require.Equal(t, small, string(eve.raw))
	require.Zero(t, bud.Reserved(), "the next event gives the memory back")
	_, err = readEvent(rea, first)
	require.NoError(t, err)
	first.Release()
	require.Zero(t, bud.Reserved())
}
