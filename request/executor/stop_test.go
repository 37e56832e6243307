package executor

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/connection/messenger"
	"hemlockpin/process/drainer"
	"hemlockpin/request/placer"
	"hemlockpin/request/responder"
	"hemlockpin/version/parser"

	"github.com/stretchr/testify/require"
)

// stoppingAllocator ends the notice of a host when it is asked for an endpoint. It then
// waits until ctx ends, or returns a lease if found is set.
type stoppingAllocator struct {
	gate     *drainer.Gate
	address  string
	found    bool
	released atomic.Int64
}

func (sto *stoppingAllocator) Acquire(ctx context.Context, _ placer.Request, _ parser.Pool) (Lease, error) {
	now := time.Now()
	sto.gate.Set(drainer.State{Phase: drainer.Closing, Settings: drainer.Settings{Timeout: callLimit / 2}, StartedAt: now, ClosingAt: now})
	if sto.found {
		return Lease{Endpoint: "service-0", Address: sto.address, Release: func() { sto.released.Add(1) }, Prefilled: func() {}}, nil
	}
	<-ctx.Done()
	return Lease{}, ctx.Err()
}

// TestStopRefusesWaitingCall guards against calls that wait for an endpoint when the host
// stops and are sent late, so that the end of the host breaks them off.
func TestStopRefusesWaitingCall(t *testing.T) {
	tests := []struct {
		name              string
		repeatable, found bool
		code              string
	}{
		{"repeatable, waits", true, false, codeStopping},
		{"repeatable, endpoint found too late", true, true, codeStopping},
		{"claimed, waits", false, false, "no_endpoint"},
		{"claimed, endpoint found too late", false, true, "no_endpoint"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int64
			ser := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
			defer ser.Close()
			var gat drainer.Gate
			claims := &claimsStub{}
			alloc := &stoppingAllocator{gate: &gat, address: ser.Listener.Addr().String(), found: tt.found}
			exe := newExecutor("", claims)
			exe.Drain, exe.Allocator = &gat, alloc
			rec := callSlots(exe, tablesOf(tt.repeatable))
			require.Equal(t, http.StatusServiceUnavailable, rec.Code)
			require.Contains(t, rec.Body.String(), tt.code)
			require.Equal(t, string(invoker.NotRun), rec.Header().Get(responder.RunHeader))
			require.NotEmpty(t, rec.Header().Get("Retry-After"))
			require.Zero(t, calls.Load())
			if tt.found {
				require.Equal(t, int64(1), alloc.released.Load())
			}
			if !tt.repeatable {
				require.Equal(t, []messenger.ClaimCommit_Step{messenger.ClaimCommit_STEP_RELEASE}, claims.steps())
			}
		})
	}
}

// TestStopAnswersCall guards against calls that a host has sent and cuts without an answer
// when it stops.
func TestStopAnswersCall(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		var gat drainer.Gate
		end := make(chan struct{})
		ser := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			gat.Set(drainer.State{Phase: drainer.Answering})
			<-end
		}))
		exe := newExecutor(ser.Listener.Addr().String(), &claimsStub{})
		exe.Drain = &gat
		rec := callSlots(exe, tablesOf(repeatable))
		require.Equal(t, http.StatusGatewayTimeout, rec.Code)
		require.Contains(t, rec.Body.String(), codeStopping)
		require.Equal(t, string(invoker.Unknown), rec.Header().Get(responder.RunHeader))
		close(end)
		ser.Close()
	}
}
