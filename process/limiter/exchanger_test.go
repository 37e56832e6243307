package limiter

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

// Keepers that don't answer must not use up the life of the others' shares.
func TestSilentKeepersCostOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		exc := &Exchanger{
			Self: "host-0", Limiter: &Limiter{}, Coordinator: &Coordinator{},
			Live: func() (out []Host) {
				for ind := range 40 {
					out = append(out, Host{ID: fmt.Sprintf("silent-%d", ind), Address: "silent"})
				}
				return out
			},
			Call: func(ctx context.Context, _ string, _ *messenger.Envelope) (*messenger.Envelope, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
		}
		for ind := range 100 {
			exc.Limiter.Take(parser.Team{Name: fmt.Sprint(ind), TokensPerSecond: 1}, 1, time.Now())
		}
		beg := time.Now()
		exc.exchange(t.Context(), beg)
		require.Equal(t, callTimeout, time.Since(beg))
	})
}
