// Package placementproof checks the rate limits of teams and the scheduling of
// prompts with real processes.
package placementproof

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/process/gossiper"

	"github.com/stretchr/testify/require"
)

const (
	bytesPerToken = 4
	testTimeout   = 3 * time.Minute
)

func startFleet(t *testing.T, pla testkit.Plan) *testkit.Fleet {
	t.Helper()
	bin, err := testkit.Build()
	require.NoError(t, err)
	pla.Bin = bin
	pla.Model = testkit.Model
	if pla.Tables.Pools == nil {
		pla.Tables = testkit.SampleTables()
	}
	fle, err := testkit.Start(t.Context(), pla)
	require.NoError(t, err)
	t.Cleanup(fle.Stop)
	return fle
}

// sendPrompt sends a prompt and returns the status, the error code, the execution
// and the Retry-After header of the response.
func sendPrompt(ctx context.Context, host *testkit.Process, key string, tokens, answer int) (status int, code, ran, retry string, err error) {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}{testkit.Model, strings.Repeat("abcd", tokens*bytesPerToken/4), answer})
	if err != nil {
		return 0, "", "", "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return 0, "", "", "", err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	var out struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(text, &out)
	return res.StatusCode, out.Error.Code, res.Header.Get("Hemlockpin-Run"), res.Header.Get("Retry-After"), err
}

// TestTeamRateOverHosts sends ten times a team's rate, evenly over all hosts. The
// admitted tokens must stay within the documented bound, and the other team must
// not be limited.
func TestTeamRateOverHosts(t *testing.T) {
	const (
		rate   = 4000
		tokens = 100
		hosts  = 4
		period = 12 * time.Second
		every  = 2500 * time.Microsecond
	)
	tab := testkit.SampleTables()
	tab.Teams[0].TokensPerSecond = rate
	fle := startFleet(t, testkit.Plan{Hosts: hosts, Engines: 2, Tables: tab})
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	defer stop()
	type reply struct {
		status           int
		code, ran, retry string
	}
	replies := make(chan reply, int(period/every)+1)
	start := time.Now()
	sent := 0
	for ; time.Since(start) < period; sent++ {
		host := fle.Hosts[sent%hosts]
		go func() {
			status, code, ran, retry, err := sendPrompt(ctx, host, testkit.Key, tokens-1, 1)
			if err != nil {
				code = err.Error()
			}
			replies <- reply{status, code, ran, retry}
		}()
		time.Sleep(time.Until(start.Add(time.Duration(sent+1) * every)))
	}
	elapsed := time.Since(start)
	admitted := 0
	for range sent {
		rep := <-replies
		switch rep.status {
		case http.StatusOK:
			admitted += tokens
		default:
			require.Equal(t, http.StatusTooManyRequests, rep.status, rep.code)
			require.Equal(t, "team_limit", rep.code)
			require.Equal(t, "NotRun", rep.ran)
			require.NotEmpty(t, rep.retry)
		}
	}
	bound := rate*(1.1*elapsed.Seconds()+2+6) + hosts*tokens
	t.Logf("sent %d, admitted %d tokens in %s, %.2f of the rate, bound %.0f", sent*tokens, admitted, elapsed, float64(admitted)/rate/elapsed.Seconds(), bound)
	require.LessOrEqual(t, float64(admitted), bound)
	require.GreaterOrEqual(t, float64(admitted), 0.5*rate*elapsed.Seconds())
	status, code, _, _, err := sendPrompt(ctx, fle.Hosts[0], testkit.OtherKey, tokens, 1)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, code)
}

// TestSchedulerDies freezes and kills each host in turn, and so also the one that
// schedules the cell. The other hosts must answer all prompts.
func TestSchedulerDies(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 4, Engines: 3, Tables: testkit.SampleTables()})
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	defer stop()
	requireAnswered := func(hosts []*testkit.Process) {
		errs := make(chan string, 10*len(hosts))
		for i := range 10 * len(hosts) {
			go func() {
				status, code, _, _, err := sendPrompt(ctx, hosts[i%len(hosts)], testkit.Key, 1000, 3)
				if err != nil {
					code = err.Error()
				}
				if status != http.StatusOK {
					errs <- code
					return
				}
				errs <- ""
			}()
		}
		for range cap(errs) {
			require.Empty(t, <-errs)
		}
	}
	waitForMembers(t, fle)
	requireAnswered(fle.Hosts)
	// Each host fails once, so the scheduler is among them.
	for i, host := range fle.Hosts {
		var rest []*testkit.Process
		rest = append(append(rest, fle.Hosts[:i]...), fle.Hosts[i+1:]...)
		require.NoError(t, host.Freeze())
		requireAnswered(rest)
		require.NoError(t, host.Resume())
		host.Kill()
		requireAnswered(rest)
		require.NoError(t, host.Start())
		waitForMembers(t, fle)
	}
	requireAnswered(fle.Hosts[:1])
}

// waitForMembers waits until every host's view has all other hosts as alive. Then
// all of them choose the same scheduler.
func waitForMembers(t *testing.T, fle *testkit.Fleet) {
	t.Helper()
	require.NoError(t, testkit.Poll(t.Context(), 30*time.Second, func() bool {
		for _, host := range fle.Hosts {
			status, err := fle.Status(t.Context(), host)
			if err != nil {
				return false
			}
			alive := 0
			for _, peer := range status.Peers {
				if peer.State == gossiper.StateAlive {
					alive++
				}
			}
			if alive != len(fle.Hosts)-1 {
				return false
			}
		}
		return true
	}))
}
