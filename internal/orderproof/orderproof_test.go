// Package orderproof_test checks with real processes that an engine carries out
// each order once, and orders of several hosts in the order of their leases.
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
	// takeOverTime is the time after which another host can acquire a lease
	// that its holder has not released.
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

// order sends a host the order to load a version on the engine. Without a response
// the effect is Unknown.
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

// holderFrozen freezes a host while it issues an order, and resumes it after another
// host has issued one. The engine must carry out both in the order of their leases,
// or not the first one if it was reported as NotApplied.
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
		require.NotEqual(t, firstReply.Fence, second.Fence, "two hosts must not have the same lease")
		require.Equal(t, firstReply.Fence < second.Fence, slices.Index(cfg.Orders, "frozen-first") < slices.Index(cfg.Orders, "frozen-second"), "carried out in the order of the leases")
	case orderer.NotApplied:
		require.NotContains(t, cfg.Orders, "frozen-first")
	}
	t.Logf("first %s under fence %d, second %s under fence %d, orders %v", firstReply.Effect, firstReply.Fence, second.Effect, second.Fence, cfg.Orders)
}

// leaseHolder returns the ID of the host that holds the lease for orders to the
// engine; empty if there is none.
func leaseHolder(t *testing.T, fle *testkit.Fleet) string {
	var lease leaser.Lease
	_ = testkit.GetJSON(t.Context(), "http://"+fle.Platform.Address+"/v1/objects/leases/orders-engine-0", &lease)
	return lease.Host
}

// holderKilled kills the host that holds the lease. Another host must acquire it
// within takeOverTime and issue its order. The engine is frozen until the host is
// killed, so that the first order can't be carried out before.
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
