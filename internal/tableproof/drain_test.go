package tableproof_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hemlockpin/connection/persister"
	"hemlockpin/internal/testkit"
	"hemlockpin/process/server"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// balancer chooses among the hosts that are ready, as the platform's load balancer
// does.
type balancer struct {
	mu    sync.Mutex
	ready []string
}

func (bal *balancer) run(ctx context.Context, fle *fleet) {
	for ctx.Err() == nil {
		var addresses []string
		for _, host := range fle.Hosts {
			if testkit.GetOK(ctx, "http://"+host.Address+"/readyz") == nil {
				addresses = append(addresses, host.Address)
			}
		}
		bal.mu.Lock()
		bal.ready = addresses
		bal.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

func (bal *balancer) pick() string {
	bal.mu.Lock()
	defer bal.mu.Unlock()
	if len(bal.ready) == 0 {
		return ""
	}
	return bal.ready[rand.IntN(len(bal.ready))]
}

func book(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/bookings", bytes.NewBufferString("slot"))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+testkit.Key)
	req.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", res.StatusCode, text)
	}
	return err
}

// Every host is restarted in turn under a load of streams and bookings. No request
// in progress may be aborted, and no booking may run twice.
func TestRollingRestart(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 3, Engines: 2, Services: 1, PlatformArgs: []string{"--list-lag", "200ms"}})
	ctx, stop := context.WithCancel(t.Context())
	var bal balancer
	var wg sync.WaitGroup
	var streams, bookings, failed atomic.Int64
	wg.Go(func() { bal.run(ctx, fle) })
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return bal.pick() != "" }))
	load := func(n int, count *atomic.Int64, send func(address string, i int) error) {
		for worker := range n {
			wg.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					if err := send(bal.pick(), worker*10000+i); err != nil {
						failed.Add(1)
						t.Errorf("a request was aborted: %v", err)
					}
					count.Add(1)
				}
			})
		}
	}
	load(8, &streams, func(address string, i int) error {
		return ask(context.Background(), address, fmt.Sprintf("question %d", i), 250)
	})
	load(3, &bookings, func(address string, _ int) error { return book(context.Background(), address) })
	for _, host := range fle.Hosts {
		require.NoError(t, host.Signal(syscall.SIGTERM))
		code, err := host.Wait(settleBound)
		require.NoError(t, err)
		require.Zero(t, code)
		require.NoError(t, host.Start())
		require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool {
			return testkit.GetOK(t.Context(), "http://"+host.Address+"/readyz") == nil
		}))
	}
	stop()
	wg.Wait()
	t.Logf("streams %d, bookings %d, aborted %d", streams.Load(), bookings.Load(), failed.Load())
	var runs map[string]int
	require.NoError(t, testkit.GetJSON(t.Context(), "http://"+fle.Services[0].Address+"/control/runs", &runs))
	require.Len(t, runs, int(bookings.Load()-failed.Load()))
	for key, n := range runs {
		require.Equal(t, 1, n, "booking %s", key)
	}
	fle.waitAlive(3)
}

// A second SIGTERM ends a drain at once: the host aborts its requests and exits with
// code 1.
func TestSecondSignalAborts(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 1, PlatformArgs: []string{"--list-lag", "200ms"}})
	res := make(chan error, 1)
	go func() { res <- ask(context.Background(), fle.Hosts[0].Address, "long", 3000) }()
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return fle.status(fle.Hosts[0]).Requests > 0 }))
	require.NoError(t, fle.Hosts[0].Signal(syscall.SIGTERM))
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return fle.status(fle.Hosts[0]).Draining }))
	_, err := fle.Hosts[0].Wait(2 * time.Second)
	require.Error(t, err, "the host must wait for the request")
	require.NoError(t, fle.Hosts[0].Signal(syscall.SIGTERM))
	code, err := fle.Hosts[0].Wait(5 * time.Second)
	require.NoError(t, err)
	require.Equal(t, 1, code)
	require.Error(t, <-res)
}

// After leavingBound no host may send new requests to a leaving endpoint, and
// its running requests must be completed.
func TestLeavingEndpoint(t *testing.T) {
	leaveByReport := func(fle *fleet, eng *testkit.Process) error {
		return fle.Fault(fle.t.Context(), eng, struct{ Leaving bool }{true})
	}
	// With these arguments only the first host polls the engines after the start.
	withoutReports := func(i int) []string {
		args := []string{"--placement", "two-choices"}
		if i > 0 {
			args = append(args, "--load-interval", "1h")
		}
		return args
	}
	tests := []struct {
		name  string
		args  func(i int) []string
		leave func(fle *fleet, eng *testkit.Process) error
	}{
		{"by the list", nil, func(fle *fleet, eng *testkit.Process) error {
			return fle.List(fle.t.Context(), persister.Entry{
				ID: eng.ID, Kind: persister.KindEngine, Service: testkit.Model, Address: eng.Address, DataCenter: "colombo",
				Models: []string{testkit.Model}, Leaving: true,
			})
		}},
		{"by itself", nil, leaveByReport},
		{"by a peer's notice", withoutReports, leaveByReport},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fle := startFleet(t, testkit.Plan{Hosts: 3, Engines: 2, PlatformArgs: []string{"--list-lag", "1s"}, HostArgsFor: tt.args})
			var wg sync.WaitGroup
			for i := range 6 {
				wg.Go(func() {
					err := ask(context.Background(), fle.Hosts[i%3].Address, fmt.Sprintf("long %d", i), 600)
					if err != nil {
						t.Errorf("a running request was aborted: %v", err)
					}
				})
			}
			eng := fle.Engines[0]
			require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return engineLoad(t, eng).Running > 0 }))
			require.NoError(t, tt.leave(fle, eng))
			time.Sleep(leavingBound)
			for _, host := range fle.Hosts {
				require.True(t, holdsLeaving(t, host, eng.ID), "host %s", host.ID)
			}
			running := engineLoad(t, eng).Running
			for i := range 30 {
				require.NoError(t, ask(t.Context(), fle.Hosts[i%3].Address, fmt.Sprintf("new %d", i), 2))
				now := engineLoad(t, eng)
				require.LessOrEqual(t, now.Running+now.Queued, running, "the engine must get no new requests")
				running = now.Running
			}
			wg.Wait()
		})
	}
}

// holdsLeaving reports whether an endpoint is leaving in the view of a host.
func holdsLeaving(t *testing.T, host *testkit.Process, id string) bool {
	var endpoints []server.EndpointStatus
	require.NoError(t, testkit.GetJSON(t.Context(), "http://"+host.Operator+"/v1/status/endpoints", &endpoints))
	return slices.ContainsFunc(endpoints, func(end server.EndpointStatus) bool { return end.ID == id && end.Leaving })
}

func engineLoad(t *testing.T, eng *testkit.Process) (loa struct{ Running, Queued int }) {
	require.NoError(t, testkit.GetJSON(t.Context(), "http://"+eng.Address+"/v1/load", &loa))
	return loa
}
