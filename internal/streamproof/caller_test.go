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

// countTimeout bounds the wait until a counter has risen.
const countTimeout = 30 * time.Second

// margin is how much longer than its time limit a request may take.
const margin = time.Second

// question is a prompt to send. A time limit of 0 means that of the route.
type question struct {
	text       string
	tokens     int64
	timeLimit  time.Duration
	unstreamed bool
}

// answer is what the caller received for a question.
type answer struct {
	status int
	text   string
	// ended is set if the response ended as a complete answer does.
	ended   bool
	code    string
	ran     invoker.Execution
	elapsed time.Duration
	err     error
}

// want returns the text of the complete answer.
func (que question) want() string {
	var bui strings.Builder
	for i := range que.tokens {
		bui.WriteString(generator.TokenText(que.text, 0, i))
	}
	return bui.String()
}

// ask sends a question and calls seen with the text received so far after each
// chunk.
func ask(ctx context.Context, host *testkit.Process, que question, seen func(string)) answer {
	start := time.Now()
	ans := send(ctx, host, que, seen)
	ans.elapsed = time.Since(start)
	return ans
}

func send(ctx context.Context, host *testkit.Process, que question, seen func(string)) answer {
	body, _ := json.Marshal(map[string]any{"model": testkit.Model, "prompt": que.text, "max_tokens": que.tokens, "stream": !que.unstreamed})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+testkit.Key)
	if que.timeLimit > 0 {
		req.Header.Set(receiver.TimeLimitHeader, que.timeLimit.String())
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	ans := answer{status: res.StatusCode, ran: invoker.Execution(res.Header.Get(responder.RunHeader))}
	if que.unstreamed || res.StatusCode != http.StatusOK {
		buf, err := io.ReadAll(res.Body)
		ans.err = err
		ans.add(buf)
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
		ans.add([]byte(eve.Data))
		if seen != nil {
			seen(ans.text)
		}
	}
	return ans
}

// add adds the content of a chunk, of the body of an answer that is not streamed,
// or of an error body.
func (ans *answer) add(buf []byte) {
	var body struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Error *struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.Unmarshal(buf, &body); err != nil {
		ans.err = err
		return
	}
	for _, choice := range body.Choices {
		ans.text += choice.Text
	}
	if body.Error != nil {
		ans.code = body.Error.Code
	}
}

// requireComplete requires a complete answer with the expected text.
func requireComplete(t *testing.T, que question, ans answer) {
	t.Helper()
	require.NoError(t, ans.err)
	require.Equal(t, http.StatusOK, ans.status, "code %s", ans.code)
	require.Empty(t, ans.code)
	require.True(t, ans.ended)
	require.Equal(t, que.want(), ans.text)
}

// requireTruthful requires that the request ended within its time limit, and that
// the answer is either complete or recognisable as truncated. A truncated answer
// must be a prefix of the expected text, and must not be reported as not run if it
// has any text.
func requireTruthful(t *testing.T, que question, ans answer) {
	t.Helper()
	if que.timeLimit > 0 {
		require.Less(t, ans.elapsed, que.timeLimit+margin)
	}
	if ans.ended {
		requireComplete(t, que, ans)
		return
	}
	require.True(t, strings.HasPrefix(que.want(), ans.text), "got %q", ans.text)
	if ans.text != "" {
		require.NotEqual(t, invoker.NotRun, ans.ran)
	}
}

// askMany sends all questions at once, distributed evenly over the hosts, and
// returns their answers.
func askMany(ctx context.Context, hosts []*testkit.Process, ques []question, seen func(int, string)) []answer {
	answers := make([]answer, len(ques))
	var wg sync.WaitGroup
	for i, que := range ques {
		wg.Go(func() {
			answers[i] = ask(ctx, hosts[i%len(hosts)], que, func(text string) {
				if seen != nil {
					seen(i, text)
				}
			})
		})
	}
	wg.Wait()
	return answers
}

// questions returns n questions with different prompts.
func questions(n int, tokens int64) []question {
	var ques []question
	for i := range n {
		ques = append(ques, question{text: fmt.Sprintf("Question %d: why does the treadle stick?", i), tokens: tokens})
	}
	return ques
}

// memory returns the memory that an engine reports as used.
func memory(ctx context.Context, eng *testkit.Process) (invoker.Load, error) {
	var loa invoker.Load
	err := testkit.GetJSON(ctx, "http://"+eng.Address+"/control/memory", &loa)
	return loa, err
}

// requireFreed waits until no engine holds memory for any request.
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

// linkEngines puts a link in front of each engine of a plan. The links are in the
// returned map, by engine ID, once the fleet has started.
func linkEngines(t *testing.T, pla *testkit.Plan) map[string]*testkit.Link {
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

// counter returns the sum of a host's counter over all labels.
func counter(t *testing.T, host *testkit.Process, name string) float64 {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+host.Operator+"/metrics", nil)
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	buf, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	var sum float64
	for line := range strings.Lines(string(buf)) {
		metric, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		metric, _, _ = strings.Cut(metric, "{")
		if value, err := strconv.ParseFloat(text, 64); err == nil && metric == "hemlockpin_"+name {
			sum += value
		}
	}
	return sum
}

// requireCounted waits until a counter is greater than a value.
func requireCounted(t *testing.T, host *testkit.Process, name string, above float64) {
	t.Helper()
	err := testkit.Poll(t.Context(), countTimeout, func() bool { return counter(t, host, name) > above })
	require.NoError(t, err, "%s did not rise above %g", name, above)
}
