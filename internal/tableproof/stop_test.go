package tableproof_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hemlockpin/internal/testkit"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

const (
	// stopNotice is the notice of the hosts of startFleet, and stopTimeout the drain timeout
	// of the host that stops.
	stopNotice  = 500 * time.Millisecond
	stopTimeout = 3 * time.Second
	// stopSlack is the time around the end of the notice in which a request may be treated
	// either way, and before the end of the drain in which a request may cross it.
	stopSlack = 400 * time.Millisecond
	// stopCleanup is the time for cancellations on engines after the drain.
	stopCleanup = 5 * time.Second
)

// stopRequest is a request that is sent at a time after the signal, on a connection that
// was opened before.
type stopRequest struct {
	name   string
	path   string
	body   string
	limit  string
	sentAt time.Duration
	con    net.Conn
	key    string
}

// stopResult is what the caller of a stopRequest observed.
type stopResult struct {
	stopRequest

	sent   time.Duration
	status int
	body   string
	closes bool
	retry  string
	err    error
}

func newStopRequest(t *testing.T, address string, req stopRequest) stopRequest {
	con, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { con.Close() })
	req.con, req.key = con, uuid.Must(uuid.NewV7()).String()
	return req
}

// send sends the request at its time and reads the answer.
func (req stopRequest) send(signalled time.Time) stopResult {
	res := stopResult{stopRequest: req}
	used := false
	cli := http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		if used {
			return nil, errors.New("the connection was closed")
		}
		used = true
		return req.con, nil
	}}}
	htr, err := http.NewRequest(http.MethodPost, "http://host"+req.path, strings.NewReader(req.body))
	if err != nil {
		res.err = err
		return res
	}
	htr.Header.Set("Authorization", "Bearer "+testkit.Key)
	htr.Header.Set("Idempotency-Key", req.key)
	if req.limit != "" {
		htr.Header.Set("Hemlockpin-Time-Limit", req.limit)
	}
	time.Sleep(time.Until(signalled.Add(req.sentAt)))
	res.sent = time.Since(signalled)
	ans, err := cli.Do(htr)
	if err != nil {
		res.err = err
		return res
	}
	defer ans.Body.Close()
	text, err := io.ReadAll(ans.Body)
	res.status, res.body, res.closes, res.retry, res.err = ans.StatusCode, string(text), ans.Close, ans.Header.Get("Retry-After"), err
	return res
}

func promptBody(stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"Why?"}],"max_completion_tokens":%d,"stream":%t}`, testkit.Model, tokens, stream)
}

// stopFinding returns which rule the result of a request breaks, or an empty string. ran
// says whether a service got the call.
func (res stopResult) stopFinding(ran bool) string {
	late := res.sent > stopNotice+stopSlack && res.limit == ""
	switch {
	case res.sent > stopNotice+stopTimeout-2*stopSlack:
		return ""
	case res.err != nil:
		return "has no complete answer"
	case late && ran:
		return "was sent to a service, although it might outlast the drain"
	case late && (res.status != http.StatusServiceUnavailable || !strings.Contains(res.body, "host_stopping") || res.retry == "" || !res.closes):
		return "was not refused with 503, Retry-After and Connection: close"
	case res.name == "endless" && res.status != http.StatusGatewayTimeout:
		return "was not answered with 504"
	case res.name == "endless stream" && !strings.Contains(res.body, "host_stopping"):
		return "has no event that says why it ended"
	case res.limit != "" && res.status != http.StatusOK:
		return "was not served, although it ends before the drain"
	default:
		return ""
	}
}

// TestStopUnderLoad guards against requests that a stopping host reads, passes on and cuts
// without an answer at the end of its drain.
func TestStopUnderLoad(t *testing.T) {
	fle := startFleet(t, testkit.Plan{
		Hosts: 2, Engines: 1, Services: 1, PlatformArgs: []string{"--list-lag", "200ms"}, HostArgs: []string{"--drain-timeout", stopTimeout.String()},
	})
	host, service := fle.Hosts[1], fle.Services[0]
	var mu sync.Mutex
	var results []stopResult
	var gro sync.WaitGroup
	send := func(req stopRequest, signalled time.Time) {
		gro.Go(func() {
			res := req.send(signalled)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, res)
		})
	}
	// These requests last longer than the drain.
	require.NoError(t, fle.Fault(t.Context(), service, struct{ SlowMs int }{60_000}))
	before := time.Now()
	for _, path := range []string{"/bookings", "/slots"} {
		send(newStopRequest(t, host.Address, stopRequest{name: "endless", path: path, body: "slot"}), before)
	}
	send(newStopRequest(t, host.Address, stopRequest{name: "endless stream", path: "/v1/chat/completions", body: promptBody(true, 10_000)}), before)
	runs := func() (out map[string]int) {
		require.NoError(t, testkit.GetJSON(t.Context(), "http://"+service.Address+"/control/runs", &out))
		return out
	}
	require.NoError(t, testkit.Poll(t.Context(), settleBound, func() bool { return len(runs()) == 2 }))
	require.NoError(t, fle.Fault(t.Context(), service, struct{ SlowMs int }{1200}))

	var requests []stopRequest
	for i := range 10 {
		at := time.Duration(i) * 300 * time.Millisecond
		for _, req := range []stopRequest{
			{name: "booking", path: "/bookings", body: "slot"}, {name: "slot", path: "/slots", body: "slot"},
			{name: "prompt", path: "/v1/chat/completions", body: promptBody(false, 20)},
			{name: "short prompt", path: "/v1/chat/completions", body: promptBody(false, 20), limit: "700ms"},
		} {
			req.sentAt = at
			requests = append(requests, newStopRequest(t, host.Address, req))
		}
	}
	signalled := time.Now()
	for _, req := range requests {
		send(req, signalled)
	}
	require.NoError(t, host.Signal(syscall.SIGTERM))
	code, err := host.Wait(stopNotice + stopTimeout + stopCleanup)
	require.NoError(t, err)
	require.Equal(t, 1, code)
	gro.Wait()
	var findings []string
	statuses, ran := map[int]int{}, runs()
	for _, res := range results {
		statuses[res.status]++
		if text := res.stopFinding(ran[res.key] > 0); text != "" {
			findings = append(findings, fmt.Sprintf("%s to %s, sent at %s, status %d, error %v: %s", res.name, res.path, res.sent, res.status, res.err, text))
		}
	}
	t.Logf("%d requests; by status: %v; %d findings", len(results), statuses, len(findings))
	require.Empty(t, findings, strings.Join(findings, "\n"))
}
