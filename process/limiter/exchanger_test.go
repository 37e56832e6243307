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

// TestUnresponsiveCoordinatorsCostOneTimeout checks that an exchange takes one timeout
// in all if no coordinator answers, so that the shares from coordinators that answer do
// not expire meanwhile.
func TestUnresponsiveCoordinatorsCostOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		exc := &Exchanger{
			Self: "host-0", Limiter: &Limiter{}, Coordinator: &Coordinator{},
			Live: func() (out []Host) {
				for i := range 40 {
					out = append(out, Host{ID: fmt.Sprintf("silent-%d", i), Address: "silent"})
				}
				return out
			},
			Call: func(ctx context.Context, _ string, _ *messenger.Envelope) (*messenger.Envelope, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
		}
		for i := range 100 {
			exc.Limiter.Take(parser.Team{Name: fmt.Sprint(i), TokensPerSecond: 1}, 1, time.Now())
		}
		start := time.Now()
		exc.exchange(t.Context(), start)
		require.Equal(t, callTimeout, time.Since(start))
	})
}
