// Package placementproof proves limits and scheduling with real processes.
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

func start(t *testing.T, pla testkit.Plan) *testkit.Fleet {
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

// prompt sends a prompt and returns the status, the code of an error, the run
// header and the retry header.
func prompt(ctx context.Context, hos *testkit.Process, key string, tokens, answer int) (status int, code, ran, retry string, err error) {
	bod, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}{testkit.Model, strings.Repeat("abcd", tokens*bytesPerToken/4), answer})
	if err != nil {
		return 0, "", "", "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hos.Address+"/v1/completions", bytes.NewReader(bod))
	if err != nil {
		return 0, "", "", "", err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", "", err
	}
	defer res.Body.Close()
	txt, err := io.ReadAll(res.Body)
	var out struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(txt, &out)
	return res.StatusCode, out.Error.Code, res.Header.Get("Hemlockpin-Run"), res.Header.Get("Retry-After"), err
}

// TestTeamRateOverHosts sends ten times a team's rate to all hosts. What is
// admitted stays within the stated bound, and the other team is not limited.
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
	fle := start(t, testkit.Plan{Hosts: hosts, Engines: 2, Tables: tab})
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	defer stop()
	type reply struct {
		status           int
		code, ran, retry string
	}
	reps := make(chan reply, int(period/every)+1)
	beg := time.Now()
	sent := 0
	for ; time.Since(beg) < period; sent++ {
		hos := fle.Hosts[sent%hosts]
		go func() {
			sta, cod, ran, ret, err := prompt(ctx, hos, testkit.Key, tokens-1, 1)
			if err != nil {
				cod = err.Error()
			}
			reps <- reply{sta, cod, ran, ret}
		}()
		time.Sleep(time.Until(beg.Add(time.Duration(sent+1) * every)))
	}
	took := time.Since(beg)
	admitted := 0
	for range sent {
		rep := <-reps
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
	bound := rate*(1.1*took.Seconds()+2+6) + hosts*tokens
	t.Logf("sent %d, admitted %d tokens in %s, %.2f of the rate, bound %.0f", sent*tokens, admitted, took, float64(admitted)/rate/took.Seconds(), bound)
	require.LessOrEqual(t, float64(admitted), bound)
	require.GreaterOrEqual(t, float64(admitted), 0.5*rate*took.Seconds())
	sta, cod, _, _, err := prompt(ctx, fle.Hosts[0], testkit.OtherKey, tokens, 1)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, sta, cod)
}

// TestSchedulerDies kills and freezes hosts while prompts run. Each prompt on a
// host that lives is answered whole, whichever host schedules the cell.
func TestSchedulerDies(t *testing.T) {
	fle := start(t, testkit.Plan{Hosts: 4, Engines: 3, Tables: testkit.SampleTables()})
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	defer stop()
	all := func(hoss []*testkit.Process) {
		errs := make(chan string, 10*len(hoss))
		for num := range 10 * len(hoss) {
			go func() {
				sta, cod, _, _, err := prompt(ctx, hoss[num%len(hoss)], testkit.Key, 1000, 3)
				if err != nil {
					cod = err.Error()
				}
				if sta != http.StatusOK {
					errs <- cod
					return
				}
				errs <- ""
			}()
		}
		for range cap(errs) {
			require.Empty(t, <-errs)
		}
	}
	awaitMembers(t, fle)
	all(fle.Hosts)
	// Every host is once the one that is gone, so that the scheduler is too.
	for ind, hos := range fle.Hosts {
		var rest []*testkit.Process
		rest = append(append(rest, fle.Hosts[:ind]...), fle.Hosts[ind+1:]...)
		require.NoError(t, hos.Freeze())
		all(rest)
		require.NoError(t, hos.Resume())
		hos.Kill()
		all(rest)
		require.NoError(t, hos.Start())
		awaitMembers(t, fle)
	}
	all(fle.Hosts[:1])
}

// awaitMembers waits until every host counts every other as alive, so that all
// turn to the same scheduler.
func awaitMembers(t *testing.T, fle *testkit.Fleet) {
	t.Helper()
	require.NoError(t, testkit.Poll(t.Context(), 30*time.Second, func() bool {
		for _, hos := range fle.Hosts {
			sta, err := fle.Status(t.Context(), hos)
			if err != nil {
				return false
			}
			alive := 0
			for _, per := range sta.Peers {
				if per.State == gossiper.StateAlive {
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
