package messenger_test

import (
	"bytes"
	"fmt"
	"testing"

	"hemlockpin/connection/messenger"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

func ping(updates int) *messenger.Envelope {
	pin := &messenger.Ping{From: &messenger.Member{Id: "host-1", Address: "10.0.0.1:8081", DataCenter: "colombo", Region: "western", Incarnation: 1 << 60}, Target: "host-2", TablesRevision: 23000, TablesAgeMs: 1500}
	for i := range updates {
		pin.Updates = append(pin.Updates, &messenger.Member{Id: fmt.Sprintf("host-%d", i), Address: "10.0.0.3:8081", DataCenter: "gampaha", Region: "western", Incarnation: 1 << 60, State: messenger.Member_STATE_SUSPECT})
	}
	return &messenger.Envelope{Body: &messenger.Envelope_Ping{Ping: pin}}
}

func frame(t testing.TB, env *messenger.Envelope) []byte {
	t.Helper()
	var buf bytes.Buffer
	require.NoError(t, messenger.Write(&buf, env))
	return buf.Bytes()
}

// TestReadRefuses reads truncated, oversized and undecodable frames and a frame of
// another protocol version; each must give its own error.
func TestReadRefuses(t *testing.T) {
	complete := frame(t, ping(1))
	otherVersion := proto.CloneOf(ping(1))
	otherVersion.Protocol = messenger.ProtocolVersion + 1
	body, err := proto.Marshal(otherVersion)
	require.NoError(t, err)
	tests := []struct {
		name string
		in   []byte
		err  string
	}{
		{"nothing", nil, "EOF"},
		{"part of a length", complete[:2], "messenger.Read: length"},
		{"part of a body", complete[:len(complete)-1], "messenger.Read: body"},
		{"no protobuf", []byte{0, 0, 0, 2, 0xff, 0xff}, "messenger.Read: decode"},
		{"too long", []byte{0xff, 0, 0, 0}, messenger.ErrFrameTooLarge.Error()},
		{"another protocol", append([]byte{0, 0, 0, byte(len(body))}, body...), messenger.ErrProtocolVersion.Error()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := messenger.Read(bytes.NewReader(tt.in))
			require.ErrorContains(t, err, tt.err)
		})
	}
}

// FuzzRead checks that each envelope that can be read is unchanged after it is
// written and read again.
func FuzzRead(f *testing.F) {
	f.Add(frame(f, ping(2)))
	f.Add(frame(f, messenger.NewFailure("code", "message")))
	f.Add(frame(f, &messenger.Envelope{Body: &messenger.Envelope_TablesPush{TablesPush: &messenger.TablesPush{Revision: 3, Delta: []byte("{}")}}}))
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, buf []byte) {
		env, err := messenger.Read(bytes.NewReader(buf))
		if err != nil {
			return
		}
		again, err := messenger.Read(bytes.NewReader(frame(t, env)))
		require.NoError(t, err)
		require.True(t, proto.Equal(env, again))
	})
}

// BenchmarkPing writes and reads a ping, and reports the size of its frame.
func BenchmarkPing(b *testing.B) {
	for _, updates := range []int{0, 8} {
		b.Run(fmt.Sprintf("%d updates", updates), func(b *testing.B) {
			env := ping(updates)
			b.ReportAllocs()
			for b.Loop() {
				_, err := messenger.Read(bytes.NewReader(frame(b, env)))
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(frame(b, env))), "bytes/message")
		})
	}
}
