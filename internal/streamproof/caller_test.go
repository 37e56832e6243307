package streamproof_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/internal/testkit"
	"hemlockpin/request/receiver"
	"hemlockpin/request/responder"
	"hemlockpin/standin/generator"

	"github.com/stretchr/testify/require"
	"github.com/tmaxmax/go-sse"
)

// countTimeout bounds the wait for a counter.
const countTimeout = 30 * time.Second

// margin is how long after its time limit a caller may still wait.
const margin = time.Second

// question is one prompt of a caller.
type question struct {
	text   string
	tokens int64
	limit  time.Duration
	whole  bool
}

// answer is the caller's own copy of what came back.
type answer struct {
	status int
	text   string
	// ended marks an answer that claims to be whole.
	ended bool
	code  string
	ran   invoker.Execution
	took  time.Duration
	err   error
}

// want is what a whole answer must be.
func (que question) want() string {
	var bui strings.Builder
	for ind := range que.tokens {
		bui.WriteString(generator.TokenText(que.text, 0, ind))
	}
	return bui.String()
}

// ask sends a question and calls seen with the text so far after each chunk.
func ask(ctx context.Context, hos *testkit.Process, que question, seen func(string)) answer {
	sta := time.Now()
	ans := send(ctx, hos, que, seen)
	ans.took = time.Since(sta)
	return ans
}

func send(ctx context.Context, hos *testkit.Process, que question, seen func(string)) answer {
	bod, _ := json.Marshal(map[string]any{"model": testkit.Model, "prompt": que.text, "max_tokens": que.tokens, "stream": !que.whole})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hos.Address+"/v1/completions", bytes.NewReader(bod))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+testkit.Key)
	if que.limit > 0 {
		req.Header.Set(receiver.TimeLimitHeader, que.limit.String())
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	ans := answer{status: res.StatusCode, ran: invoker.Execution(res.Header.Get(responder.RunHeader))}
	if que.whole || res.StatusCode != http.StatusOK {
		buf, err := io.ReadAll(res.Body)
		ans.err = err
		ans.take(buf)
		ans.ended = err == nil && res.StatusCode == http.StatusOK
		return ans
	}
	for eve, err := range sse.Read(res.Body, nil) {
		if err != nil {
			ans.err = err
			return ans
		}
		if eve.Data == "[DONE]" {
			ans.ended = true
			continue
		}
		ans.take([]byte(eve.Data))
		if seen != nil {
			seen(ans.text)
		}
	}
	return ans
}

// take adds a chunk, a whole body or an error body.
func (ans *answer) take(buf []byte) {
	var bod struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Error *struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.Unmarshal(buf, &bod); err != nil {
		ans.err = err
		return
	}
	for _, cho := range bod.Choices {
		ans.text += cho.Text
	}
	if bod.Error != nil {
		ans.code = bod.Error.Code
	}
}

// requireWhole checks an answer against the text that the prompt must give.
func requireWhole(t *testing.T, que question, ans answer) {
	t.Helper()
	require.NoError(t, ans.err)
	require.Equal(t, http.StatusOK, ans.status, "code %s", ans.code)
	require.Empty(t, ans.code)
	require.True(t, ans.ended)
	require.Equal(t, que.want(), ans.text)
}

// requireTruthful checks that an answer is whole, or fails without seeming so,
// within its time.
func requireTruthful(t *testing.T, que question, ans answer) {
	t.Helper()
	if que.limit > 0 {
		require.Less(t, ans.took, que.limit+margin)
	}
	if ans.ended {
		requireWhole(t, que, ans)
		return
	}
	require.True(t, strings.HasPrefix(que.want(), ans.text), "got %q", ans.text)
	if ans.text != "" {
		require.NotEqual(t, invoker.NotRun, ans.ran)
	}
}

// askMany sends questions at once, in turn over the hosts.
func askMany(ctx context.Context, hoss []*testkit.Process, ques []question, seen func(int, string)) []answer {
	anss := make([]answer, len(ques))
	var gro sync.WaitGroup
	for ind, que := range ques {
		gro.Go(func() {
			anss[ind] = ask(ctx, hoss[ind%len(hoss)], que, func(txt string) {
				if seen != nil {
					seen(ind, txt)
				}
			})
		})
	}
	gro.Wait()
	return anss
}

// questions builds prompts that differ.
func questions(cou int, tokens int64) []question {
	var ques []question
	for ind := range cou {
		ques = append(ques, question{text: fmt.Sprintf("Question %d: why does the treadle stick?", ind), tokens: tokens})
	}
	return ques
}

// memory reads an engine's own account.
func memory(ctx context.Context, eng *testkit.Process) (invoker.Load, error) {
	var loa invoker.Load
	err := testkit.GetJSON(ctx, "http://"+eng.Address+"/control/memory", &loa)
	return loa, err
}

// requireFreed waits until no engine holds memory for anybody.
func requireFreed(t *testing.T, engs []*testkit.Process, within time.Duration) {
	t.Helper()
	for _, eng := range engs {
		var loa invoker.Load
		err := testkit.Poll(t.Context(), within, func() bool {
			var err error
			loa, err = memory(t.Context(), eng)
			return err == nil && loa.UsedTokens == 0 && len(loa.Sequences) == 0
		})
		require.NoError(t, err, "%s holds %d tokens: %+v", eng.ID, loa.UsedTokens, loa.Sequences)
	}
}

func startFleet(t *testing.T, pla testkit.Plan) *testkit.Fleet {
	t.Helper()
	bin, err := testkit.Build()
	require.NoError(t, err)
	pla.Bin = bin
	pla.Model = testkit.Model
	pla.Tables = testkit.SampleTables()
	fle, err := testkit.Start(t.Context(), pla)
	require.NoError(t, err)
	t.Cleanup(fle.Stop)
	return fle
}

// linked puts a link before each engine.
func linked(t *testing.T, pla *testkit.Plan) map[string]*testkit.Link {
	links := map[string]*testkit.Link{}
	pla.EndpointVia = func(id, address string) string {
		lin, err := testkit.NewLink(id, address)
		require.NoError(t, err)
		t.Cleanup(lin.Close)
		links[id] = lin
		return lin.Address()
	}
	return links
}

// counter sums a counter of a host over its tags.
func counter(t *testing.T, hos *testkit.Process, name string) float64 {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+hos.Operator+"/metrics", nil)
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	buf, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	var sum float64
	for lin := range strings.Lines(string(buf)) {
		nam, val, _ := strings.Cut(strings.TrimSpace(lin), " ")
		nam, _, _ = strings.Cut(nam, "{")
		if num, err := strconv.ParseFloat(val, 64); err == nil && nam == "hemlockpin_"+name {
			sum += num
		}
	}
	return sum
}

// requireCounted waits until a counter has passed a value.
func requireCounted(t *testing.T, hos *testkit.Process, name string, above float64) {
	t.Helper()
	err := testkit.Poll(t.Context(), countTimeout, func() bool { return counter(t, hos, name) > above })
	require.NoError(t, err, "%s did not rise above %g", name, above)
}
