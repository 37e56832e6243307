package server

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"hemlockpin/connection/persister"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// scriptedLister is a Lister. Each read takes the first character of remaining and fails
// if it is a minus.
type scriptedLister struct{ remaining string }

func (lis *scriptedLister) Entries(context.Context) ([]persister.Entry, error) {
	failed := lis.remaining[0] == '-'
	lis.remaining = lis.remaining[1:]
	if failed {
		return nil, persister.ErrUnavailable
	}
	return nil, nil
}

// TestPlatformLog checks that an outage of the platform is logged once at its start and
// once at its end, and that a short failure is not logged.
func TestPlatformLog(t *testing.T) {
	tts := []struct{ name, reads, want string }{
		{"well", "+++", ""},
		{"short failure", "+--+--+", ""},
		{"outage", "+-----+++", "platform lost,platform back"},
		{"from the start", "---", "platform lost"},
		{"twice", "---+---+", "platform lost,platform back,platform lost,platform back"},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			var buf bytes.Buffer
			mon := &platformMonitor{Lister: &scriptedLister{tt.reads}, log: zerolog.New(&buf), scope: tally.NoopScope}
			for range tt.reads {
				_, _ = mon.Entries(t.Context())
			}
			var got []string
			for _, line := range strings.Split(buf.String(), "\n") {
				if _, message, ok := strings.Cut(line, `"message":"`); ok {
					got = append(got, strings.TrimSuffix(message, `"}`))
				}
			}
			require.Equal(t, tt.want, strings.Join(got, ","))
		})
	}
}
