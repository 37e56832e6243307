// Package sender sends drawn requests to entry hosts as a caller does, measures
// their times and checks their answers.
package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"hemlockpin/load/mixer"
	"hemlockpin/request/receiver"
	"hemlockpin/request/responder"
	"hemlockpin/standin/generator"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"
)

const (
	hostDownTime      = time.Second
	maxVerifiedTokens = 40_000
	maxEventBytes     = 1 << 20
	maxIdleConns      = 4096
	retryPause        = 700 * time.Millisecond
)

// Outcome is the result of a request.
type Outcome string

// Outcomes of requests.
const (
	// Whole is a complete answer within the latency target.
	Whole Outcome = "Whole"
	// Late is a complete answer after the latency target.
	Late Outcome = "Late"
	// Refused is an error answer that reports that the request was not run.
	Refused Outcome = "Refused"
	// Failed is an error answer that reports that the request ran or may have run.
	Failed Outcome = "Failed"
	// Broken is a connection that ended before a complete answer or an error.
	Broken Outcome = "Broken"
	// Wrong is an answer that differs from the expected one or cannot be parsed.
	Wrong Outcome = "Wrong"
	// Unreachable means that no host accepted the connection.
	Unreachable Outcome = "Unreachable"
)

// Result is the measurement of one request.
type Result struct {
	Request mixer.Request
	Outcome Outcome
	Status  int
	Code    string
	// Message is the explanation of an error answer.
	Message string
	// Ran is the header by which the host reports whether the request was run.
	Ran string
	// First is the time to the first token, Total the time to the last byte.
	First time.Duration
	Total time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// CallKey is the idempotency key of a call.
	CallKey string
	// RanByAttempt holds Ran of each attempt of a call that may not be repeated;
	// it is empty for an attempt without an answer.
	RanByAttempt []string
	// Trace is the trace ID of the request; it is empty if the request was not
	// traced or was not answered.
	Trace string
	// Host is the address that accepted the connection, StartedAt the time at
	// which the request was sent.
	Host      string
	StartedAt time.Time
}

// Sender sends requests to random Hosts, like a load balancer that avoids hosts
// that do not accept connections.
type Sender struct {
	Hosts []string
	Model string
	// Verify compares the answers to prompts of up to maxVerifiedTokens with the
	// expected answers of the simulated engine.
	Verify bool
	// MaxRetries bounds how often a call is sent again under its idempotency key.
	MaxRetries int
	// ShouldTrace reports whether the hosts are to trace a request; nil means that
	// no request is traced.
	ShouldTrace func(mixer.Request) bool
	// TimeLimit is sent with each request; 0 means the time limit of the route.
	TimeLimit time.Duration

	once       sync.Once
	httpClient *http.Client
	mu         sync.Mutex
	down       map[string]time.Time
}

func (sen *Sender) client() *http.Client {
	sen.once.Do(func() {
		sen.httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}}
	})
	return sen.httpClient
}

// Send runs one request to its end.
func (sen *Sender) Send(ctx context.Context, req mixer.Request, text string) Result {
	start := time.Now()
	var res Result
	if req.Kind == mixer.KindPrompt {
		res = sen.prompt(ctx, req, text)
	} else {
		res = sen.call(ctx, req)
	}
	res.StartedAt = start
	if res.Total == 0 {
		res.Total = time.Since(start)
	}
	return res
}

func (sen *Sender) prompt(ctx context.Context, req mixer.Request, text string) Result {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int64  `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{sen.Model, text, req.AnswerTokens, true})
	if err != nil {
		return Result{Request: req, Outcome: Broken, Code: err.Error()}
	}
	start := time.Now()
	hea := http.Header{}
	trace := ""
	if sen.ShouldTrace != nil && sen.ShouldTrace(req) {
		trace = traceID()
		hea.Set("Traceparent", "00-"+trace+"-"+trace[:16]+"-01")
	}
	res, host, err := sen.post(ctx, req, body, hea)
	if err != nil {
		return connectionErrorResult(req, host, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errorResult(req, host, res, start)
	}
	out := sen.stream(req, text, res, start)
	out.Host = host
	out.Trace = trace
	return out
}

// traceID returns a random trace ID. Neither half is all zeros: the first half is
// also used as the span ID, which must not be zero.
func traceID() string { return fmt.Sprintf("%016x%016x", rand.Uint64()|1, rand.Uint64()|1) }

func connectionErrorResult(req mixer.Request, host string, err error) Result {
	res := Result{Request: req, Outcome: Broken, Code: err.Error(), Host: host}
	if isDialError(err) {
		res.Outcome = Unreachable
	}
	return res
}

func isDialError(err error) bool {
	var ope *net.OpError
	return errors.As(err, &ope) && ope.Op == "dial"
}

// post sends a request to one host after the other until one accepts the
// connection, and returns that host.
func (sen *Sender) post(ctx context.Context, req mixer.Request, body []byte, hea http.Header) (*http.Response, string, error) {
	var lastErr error
	for _, host := range sen.hostOrder(time.Now()) {
		htr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+req.Path, bytes.NewReader(body))
		if err != nil {
			return nil, host, err
		}
		htr.Header = hea.Clone()
		htr.Header.Set("Authorization", "Bearer "+req.Key)
		htr.Header.Set("Content-Type", "application/json")
		if sen.TimeLimit > 0 {
			htr.Header.Set(receiver.TimeLimitHeader, sen.TimeLimit.String())
		}
		res, err := sen.client().Do(htr)
		if err == nil {
			return res, host, nil
		}
		lastErr = err
		if !isDialError(err) {
			return nil, host, err
		}
		sen.markDown(host, time.Now())
	}
	return nil, "", lastErr
}

// hostOrder returns the hosts in cyclic order from a random start, with the hosts
// that did not accept a connection within the last hostDownTime at the end.
func (sen *Sender) hostOrder(now time.Time) []string {
	sen.mu.Lock()
	defer sen.mu.Unlock()
	var up, down []string
	first := rand.IntN(len(sen.Hosts))
	for i := range sen.Hosts {
		host := sen.Hosts[(first+i)%len(sen.Hosts)]
		if now.Before(sen.down[host]) {
			down = append(down, host)
			continue
		}
		up = append(up, host)
	}
	return append(up, down...)
}

func (sen *Sender) markDown(host string, now time.Time) {
	sen.mu.Lock()
	defer sen.mu.Unlock()
	if sen.down == nil {
		sen.down = map[string]time.Time{}
	}
	sen.down[host] = now.Add(hostDownTime)
}

func errorResult(req mixer.Request, host string, res *http.Response, start time.Time) Result {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.NewDecoder(res.Body).Decode(&body)
	out := Result{Request: req, Outcome: Failed, Host: host, Status: res.StatusCode, Code: body.Error.Code, Message: body.Error.Message, Ran: res.Header.Get(responder.RunHeader), Total: time.Since(start)}
	if out.Ran == "NotRun" {
		out.Outcome = Refused
	}
	return out
}

type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// stream reads a streamed answer, measures the times of its tokens and determines
// the outcome.
func (sen *Sender) stream(req mixer.Request, text string, res *http.Response, start time.Time) Result {
	out := Result{Request: req, Outcome: Broken, Status: res.StatusCode, Ran: res.Header.Get(responder.RunHeader)}
	var got bytes.Buffer
	last := start
	tokens := int64(0)
	done := false
	for eve, err := range sse.Read(res.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			out.Code = err.Error()
			break
		}
		if eve.Data == "[DONE]" {
			done = true
			break
		}
		var chu chunk
		if err := json.Unmarshal([]byte(eve.Data), &chu); err != nil {
			out.Outcome = Wrong
			out.Code = err.Error()
			return out
		}
		if chu.Error != nil {
			out.Outcome = Failed
			out.Code = chu.Error.Code
			out.Message = chu.Error.Message
			break
		}
		if len(chu.Choices) == 0 || chu.Choices[0].Text == "" {
			continue
		}
		now := time.Now()
		if tokens == 0 {
			out.First = now.Sub(start)
		} else {
			out.Gaps = append(out.Gaps, now.Sub(last))
		}
		last = now
		tokens++
		got.WriteString(chu.Choices[0].Text)
	}
	out.Total = time.Since(start)
	if !done {
		return out
	}
	out.Outcome = sen.answerOutcome(req, text, got.String(), out.Total)
	return out
}

func (sen *Sender) answerOutcome(req mixer.Request, text, got string, total time.Duration) Outcome {
	if sen.Verify && req.PromptTokens <= maxVerifiedTokens && got != expectedAnswer(text, req.AnswerTokens) {
		return Wrong
	}
	if total > req.LatencyTarget {
		return Late
	}
	return Whole
}

func expectedAnswer(text string, tokens int64) string {
	var buf bytes.Buffer
	for i := range tokens {
		buf.WriteString(generator.TokenText(text, 0, i))
	}
	return buf.String()
}

// call sends a call to a plain service. A call that may not be repeated has an
// idempotency key of its own and is sent again under it, up to MaxRetries times,
// until the answer has status 200.
func (sen *Sender) call(ctx context.Context, req mixer.Request) Result {
	if req.Kind != mixer.KindOnce {
		return sen.sendCall(ctx, req, "")
	}
	key := uuid.Must(uuid.NewV7()).String()
	var says []string
	for attempt := 0; ; attempt++ {
		res := sen.sendCall(ctx, req, key)
		says = append(says, res.Ran)
		res.CallKey = key
		res.RanByAttempt = says
		if res.Status == http.StatusOK || attempt >= sen.MaxRetries || !pause(ctx, retryPause) {
			return res
		}
	}
}

// pause waits and returns false if ctx ends first.
func pause(ctx context.Context, dur time.Duration) bool {
	select {
	case <-time.After(dur):
		return true
	case <-ctx.Done():
		return false
	}
}

func (sen *Sender) sendCall(ctx context.Context, req mixer.Request, key string) Result {
	start := time.Now()
	hea := http.Header{}
	if key != "" {
		hea.Set("Idempotency-Key", key)
	}
	res, host, err := sen.post(ctx, req, []byte(`{"Order":1}`), hea)
	if err != nil {
		return connectionErrorResult(req, host, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errorResult(req, host, res, start)
	}
	_, err = io.Copy(io.Discard, res.Body)
	out := Result{Request: req, Outcome: Whole, Status: res.StatusCode, Ran: res.Header.Get(responder.RunHeader), Total: time.Since(start), Host: host}
	out.First = out.Total
	switch {
	case err != nil:
		out.Outcome = Broken
	case out.Total > req.LatencyTarget:
		out.Outcome = Late
	}
	return out
}
