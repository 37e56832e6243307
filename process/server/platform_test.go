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

// answers is a Lister whose reads fail where the text has a minus.
type answers struct{ left string }

func (ans *answers) Entries(context.Context) ([]persister.Entry, error) {
	failed := ans.left[0] == '-'
	ans.left = ans.left[1:]
	if failed {
		return nil, persister.ErrUnavailable
	}
	return nil, nil
}

func TestPlatformLog(t *testing.T) {
	tt := []struct{ name, answers, want string }{
		{"well", "+++", ""},
		{"short failure", "+--+--+", ""},
		{"outage", "+-----+++", "platform lost,platform back"},
		{"from the start", "---", "platform lost"},
		{"twice", "---+---+", "platform lost,platform back,platform lost,platform back"},
	}
	for _, tc := range tt {
		t.Run(tc.name, func(t *testing.T) {
			var buf bytes.Buffer
			mon := &platformMonitor{Lister: &answers{tc.answers}, log: zerolog.New(&buf), scope: tally.NoopScope}
			for range tc.answers {
				_, _ = mon.Entries(t.Context())
			}
			var got []string
			for _, line := range strings.Split(buf.String(), "\n") {
				if _, message, ok := strings.Cut(line, `"message":"`); ok {
					got = append(got, strings.TrimSuffix(message, `"}`))
				}
			}
			require.Equal(t, tc.want, strings.Join(got, ","))
		})
	}
}
