// Package orderproof_test proves with real processes that orders to engines are
// carried out once and in the order of their leases.
package orderproof_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/internal/testkit"
	"hemlockpin/process/leaser"
	"hemlockpin/process/orderer"
	"hemlockpin/process/server"

	"github.com/stretchr/testify/require"
)

const (
	orderTime = 20 * time.Second
	// takeTime is what a host needs to take over a lease that was not given back.
	takeOverTime = leaser.Term + leaser.Margin
)

func startFleet(t *testing.T, engineArgs ...string) *testkit.Fleet {
	t.Helper()
	bin, err := testkit.Build()
	require.NoError(t, err)
	fle, err := testkit.Start(t.Context(), testkit.Plan{
		Bin: bin, Model: testkit.Model, Hosts: 3, Engines: 1, Tables: testkit.SampleTables(), EngineArgs: engineArgs,
		PlatformArgs: []string{"--weight-rate", "2"},
	})
	require.NoError(t, err)
	t.Cleanup(fle.Stop)
	return fle
}

// order asks a host to load a version. Without an answer the effect is unknown.
func order(ctx context.Context, host *testkit.Process, id, version string) server.OrderReply {
	reply := server.OrderReply{ID: id, End: orderer.End{Effect: orderer.Unknown}}
	buf, _ := json.Marshal(server.OrderRequest{
		Endpoint: "engine-0", Kind: invoker.LoadVersion, Model: testkit.Model, Version: version, ID: id, TimeMs: orderTime.Milliseconds(),
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Operator+"/v1/orders", bytes.NewReader(buf))
	if err != nil {
		return reply
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply
	}
	defer res.Body.Close()
	_ = json.NewDecoder(res.Body).Decode(&reply)
	return reply
}

func config(t *testing.T, fle *testkit.Fleet) invoker.EngineConfig {
	t.Helper()
	var cfg invoker.EngineConfig
	require.NoError(t, testkit.GetJSON(t.Context(), "http://"+fle.Engines[0].Address+"/v1/config", &cfg))
	return cfg
}

func TestOrders(t *testing.T) {
	for _, fence := range []string{"", "--checks-fencing"} {
		t.Run("engine "+fence, func(t *testing.T) {
			var args []string
			if fence != "" {
				args = append(args, fence)
			}
			fle := startFleet(t, args...)
			t.Run("at once from all hosts", func(t *testing.T) { concurrentOrders(t, fle) })
			t.Run("repeated", func(t *testing.T) {
				before := config(t, fle)
				require.Equal(t, orderer.Applied, order(t.Context(), fle.Hosts[1], "order-0", "0").Effect)
				require.Equal(t, before, config(t, fle))
			})
			t.Run("holder frozen past its lease", func(t *testing.T) { holderFrozen(t, fle) })
			t.Run("holder killed", func(t *testing.T) { holderKilled(t, fle) })
		})
	}
}

func concurrentOrders(t *testing.T, fle *testkit.Fleet) {
	const orders = 6
	var mu sync.Mutex
	fences := map[string]uint64{}
	var wg sync.WaitGroup
	for i := range orders {
		wg.Go(func() {
			id := "order-" + strconv.Itoa(i)
			reply := order(t.Context(), fle.Hosts[i%len(fle.Hosts)], id, strconv.Itoa(i))
			mu.Lock()
			defer mu.Unlock()
			if reply.Effect == orderer.Applied {
				fences[id] = reply.Fence
			}
		})
	}
	wg.Wait()
	require.Len(t, fences, orders)
	cfg := config(t, fle)
	require.Len(t, cfg.Orders, orders)
	require.Equal(t, uint64(orders+1), cfg.Generation)
	for i := 1; i < orders; i++ {
		require.Less(t, fences[cfg.Orders[i-1]], fences[cfg.Orders[i]], "carried out in the order of the leases")
	}
}

// frozen freezes a host that gives an order until another has given its own.
func holderFrozen(t *testing.T, fle *testkit.Fleet) {
	first := make(chan server.OrderReply, 1)
	go func() { first <- order(context.Background(), fle.Hosts[0], "frozen-first", "a") }()
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, fle.Hosts[0].Freeze())
	second := order(t.Context(), fle.Hosts[1], "frozen-second", "b")
	require.NoError(t, fle.Hosts[0].Resume())
	require.Equal(t, orderer.Applied, second.Effect)
	firstReply := <-first
	cfg := config(t, fle)
	require.Contains(t, cfg.Orders, "frozen-second")
	switch firstReply.Effect {
	case orderer.Applied:
		require.Contains(t, cfg.Orders, "frozen-first")
		require.NotEqual(t, firstReply.Fence, second.Fence, "one lease for two hosts")
		require.Equal(t, firstReply.Fence < second.Fence, slices.Index(cfg.Orders, "frozen-first") < slices.Index(cfg.Orders, "frozen-second"), "carried out in the order of the leases")
	case orderer.NotApplied:
		require.NotContains(t, cfg.Orders, "frozen-first")
	}
	t.Logf("first %s under fence %d, second %s under fence %d, orders %v", firstReply.Effect, firstReply.Fence, second.Effect, second.Fence, cfg.Orders)
}

// holder returns the host that holds the lease of the engine, if any.
func leaseHolder(t *testing.T, fle *testkit.Fleet) string {
	var lease leaser.Lease
	_ = testkit.GetJSON(t.Context(), "http://"+fle.Platform.Address+"/v1/objects/leases/orders-engine-0", &lease)
	return lease.Host
}

// killed kills a host that holds the lease; another takes it in time. The engine
// is frozen until then, so that the first order can't end before.
func holderKilled(t *testing.T, fle *testkit.Fleet) {
	require.NoError(t, fle.Engines[0].Freeze())
	go order(context.Background(), fle.Hosts[2], "killed-first", "c")
	require.Eventually(t, func() bool { return leaseHolder(t, fle) == fle.Hosts[2].ID }, takeOverTime, time.Millisecond)
	fle.Hosts[2].Kill()
	require.NoError(t, fle.Engines[0].Resume())
	ctx, stop := context.WithTimeout(t.Context(), takeOverTime+orderTime/2)
	defer stop()
	require.Equal(t, orderer.Applied, order(ctx, fle.Hosts[1], "killed-second", "d").Effect)
	cfg := config(t, fle)
	require.Equal(t, "killed-second", cfg.Orders[len(cfg.Orders)-1])
}
