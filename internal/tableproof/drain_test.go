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

// balancer sends callers to hosts that are ready, as the platform's does.
type balancer struct {
	mu    sync.Mutex
	ready []string
}

func (bal *balancer) run(ctx context.Context, fle *fleet) {
	for ctx.Err() == nil {
		var add []string
		for _, hos := range fle.Hosts {
			if testkit.GetOK(ctx, "http://"+hos.Address+"/readyz") == nil {
				add = append(add, hos.Address)
			}
		}
		bal.mu.Lock()
		bal.ready = add
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
	txt, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", res.StatusCode, txt)
	}
	return err
}

// Every host is restarted in turn under streaming load and bookings. No request
// in progress is cut, and no booking runs twice.
func TestRollingRestart(t *testing.T) {
	fle := start(t, testkit.Plan{Hosts: 3, Engines: 2, Services: 1, PlatformArgs: []string{"--list-lag", "200ms"}})
	ctx, stop := context.WithCancel(t.Context())
	var bal balancer
	var gro sync.WaitGroup
	var streams, bookings, failed atomic.Int64
	gro.Go(func() { bal.run(ctx, fle) })
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return bal.pick() != "" }))
	load := func(num int, count *atomic.Int64, one func(address string, ind int) error) {
		for wor := range num {
			gro.Go(func() {
				for ind := 0; ctx.Err() == nil; ind++ {
					if err := one(bal.pick(), wor*10000+ind); err != nil {
						failed.Add(1)
						t.Errorf("a request was cut: %v", err)
					}
					count.Add(1)
				}
			})
		}
	}
	load(8, &streams, func(address string, ind int) error {
		return ask(context.Background(), address, fmt.Sprintf("question %d", ind), 250)
	})
	load(3, &bookings, func(address string, _ int) error { return book(context.Background(), address) })
	for _, hos := range fle.Hosts {
		require.NoError(t, hos.Signal(syscall.SIGTERM))
		code, err := hos.Wait(settleBound)
		require.NoError(t, err)
		require.Zero(t, code)
		require.NoError(t, hos.Start())
		require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool {
			return testkit.GetOK(t.Context(), "http://"+hos.Address+"/readyz") == nil
		}))
	}
	stop()
	gro.Wait()
	t.Logf("streams %d, bookings %d, cut %d", streams.Load(), bookings.Load(), failed.Load())
	var runs map[string]int
	require.NoError(t, testkit.GetJSON(t.Context(), "http://"+fle.Services[0].Address+"/control/runs", &runs))
	require.Len(t, runs, int(bookings.Load()-failed.Load()))
	for key, num := range runs {
		require.Equal(t, 1, num, "booking %s", key)
	}
	fle.waitLive(3)
}

// A second signal ends a drain at once.
func TestSecondSignalCuts(t *testing.T) {
	fle := start(t, testkit.Plan{Hosts: 1, Engines: 1, PlatformArgs: []string{"--list-lag", "200ms"}})
	res := make(chan error, 1)
	go func() { res <- ask(context.Background(), fle.Hosts[0].Address, "long", 3000) }()
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return fle.status(fle.Hosts[0]).Requests > 0 }))
	require.NoError(t, fle.Hosts[0].Signal(syscall.SIGTERM))
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return fle.status(fle.Hosts[0]).Draining }))
	_, err := fle.Hosts[0].Wait(2 * time.Second)
	require.Error(t, err, "the host waits for the request")
	require.NoError(t, fle.Hosts[0].Signal(syscall.SIGTERM))
	code, err := fle.Hosts[0].Wait(5 * time.Second)
	require.NoError(t, err)
	require.Equal(t, 1, code)
	require.Error(t, <-res)
}

// A leaving endpoint gets no new work on any host after the bound, and its
// running work finishes whole.
func TestLeavingEndpoint(t *testing.T) {
	itself := func(fle *fleet, eng *testkit.Process) error {
		return fle.Fault(fle.t.Context(), eng, struct{ Leaving bool }{true})
	}
	// Only the first host reads the engines' reports after the start.
	blind := func(ind int) []string {
		args := []string{"--placement", "two-choices"}
		if ind > 0 {
			args = append(args, "--load-interval", "1h")
		}
		return args
	}
	tts := []struct {
		name  string
		args  func(ind int) []string
		leave func(fle *fleet, eng *testkit.Process) error
	}{
		{"by the list", nil, func(fle *fleet, eng *testkit.Process) error {
			return fle.List(fle.t.Context(), persister.Entry{
				ID: eng.ID, Kind: persister.KindEngine, Service: testkit.Model, Address: eng.Address, DataCenter: "colombo",
				Models: []string{testkit.Model}, Leaving: true,
			})
		}},
		{"by itself", nil, itself},
		{"by a peer's notice", blind, itself},
	}
	for _, tt := range tts {
		t.Run(tt.name, func(t *testing.T) {
			fle := start(t, testkit.Plan{Hosts: 3, Engines: 2, PlatformArgs: []string{"--list-lag", "1s"}, HostArgsFor: tt.args})
			var gro sync.WaitGroup
			for ind := range 6 {
				gro.Go(func() {
					err := ask(context.Background(), fle.Hosts[ind%3].Address, fmt.Sprintf("long %d", ind), 600)
					if err != nil {
						t.Errorf("running work was cut: %v", err)
					}
				})
			}
			eng := fle.Engines[0]
			require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return load(t, eng).Running > 0 }))
			require.NoError(t, tt.leave(fle, eng))
			time.Sleep(leavingBound)
			for _, hos := range fle.Hosts {
				require.True(t, holdsLeaving(t, hos, eng.ID), "host %s", hos.ID)
			}
			running := load(t, eng).Running
			for ind := range 30 {
				require.NoError(t, ask(t.Context(), fle.Hosts[ind%3].Address, fmt.Sprintf("new %d", ind), 2))
				now := load(t, eng)
				require.LessOrEqual(t, now.Running+now.Queued, running, "no new work")
				running = now.Running
			}
			gro.Wait()
		})
	}
}

// holdsLeaving reports whether a host holds an endpoint to be leaving.
func holdsLeaving(t *testing.T, hos *testkit.Process, id string) bool {
	var ends []server.EndpointStatus
	require.NoError(t, testkit.GetJSON(t.Context(), "http://"+hos.Operator+"/v1/status/endpoints", &ends))
	return slices.ContainsFunc(ends, func(end server.EndpointStatus) bool { return end.ID == id && end.Leaving })
}

func load(t *testing.T, eng *testkit.Process) (loa struct{ Running, Queued int }) {
	require.NoError(t, testkit.GetJSON(t.Context(), "http://"+eng.Address+"/v1/load", &loa))
	return loa
}
