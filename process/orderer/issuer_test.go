package orderer

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/persister"
	"hemlockpin/standin/generator"
	"hemlockpin/standin/keeper"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
)

// refusedDials exceeds maxSends: sends that do not reach the engine must not count.
const refusedDials = 2 * maxSends

// unreachable is a client of an engine that the first orders do not reach.
type unreachable struct {
	*invoker.Invoker
	left int
}

func (unr *unreachable) SendOrder(ctx context.Context, address string, ord invoker.Order) error {
	if unr.left > 0 {
		unr.left--
		return &invoker.Error{Execution: invoker.NotRun, Err: &net.OpError{Op: "dial", Err: eris.New("refused")}}
	}
	return unr.Invoker.SendOrder(ctx, address, ord)
}

// TestIssue issues orders through a platform with a low write rate to an engine that is
// unreachable at first. Sends that do not reach the engine must not count as attempts, and
// refused writes of the lease must be retried.
func TestIssue(t *testing.T) {
	platform := httptest.NewServer(keeper.New(keeper.Settings{ReadRate: 1000, WriteRate: 4, WeightRate: 1, MaxWatchers: 1}).Handler())
	defer platform.Close()
	eng := httptest.NewServer(generator.New(generator.Settings{ChecksFence: true}).Handler())
	defer eng.Close()
	per := &persister.Persister{BaseURL: platform.URL}
	inv := &unreachable{Invoker: &invoker.Invoker{}, left: refusedDials}
	iss := &Issuer{Store: per, Weights: per, Engine: inv, Host: "host-0"}
	ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
	defer stop()
	for i, id := range []string{"one", "two", "three", "four"} {
		end := iss.Issue(ctx, "engine-0", eng.Listener.Addr().String(), invoker.Order{ID: id, Kind: invoker.LoadVersion, Model: "m", Version: id})
		require.Equal(t, Applied, end.Effect, end)
		require.Equal(t, uint64(i+1), end.Fence)
	}
	cfg, err := inv.Config(ctx, eng.Listener.Addr().String())
	require.NoError(t, err)
	require.Equal(t, []string{"one", "two", "three", "four"}, cfg.Orders)
	require.Equal(t, "four", cfg.Versions["m"])
	end := iss.Issue(ctx, "engine-0", eng.Listener.Addr().String(), invoker.Order{ID: "bad", Kind: "NoKind", Model: "m"})
	require.Equal(t, End{Effect: NotApplied, Code: "bad_order", Message: "the order is not known", Fence: 5}, end)
	end = iss.Issue(ctx, "engine-0", eng.Listener.Addr().String(), invoker.Order{ID: "none", Kind: invoker.LoadModel})
	require.Equal(t, "weights_not_found", end.Code)
	end = iss.Issue(ctx, "engine-0", eng.Listener.Addr().String(), invoker.Order{ID: "five", Kind: invoker.LoadModel, Model: "other"})
	require.Equal(t, Applied, end.Effect, "an order without a version loads the current version")
}
