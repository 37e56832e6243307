// Package sender sends one drawn request to an entry host as a caller would,
// measures its times and judges its answer.
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
	hostDownFor   = time.Second
	verifyTokens  = 40_000
	maxEventBytes = 1 << 20
	maxConns      = 4096
	repeatPause   = 700 * time.Millisecond
)

// Outcome is how a request ended.
type Outcome string

// Outcomes of requests.
const (
	// Whole is a complete answer within the patience of its class.
	Whole Outcome = "Whole"
	// Late is a complete answer past the patience.
	Late Outcome = "Late"
	// Refused is an error that says the request was not run.
	Refused Outcome = "Refused"
	// Failed is an error that says the request ran, or that this is unknown.
	Failed Outcome = "Failed"
	// Broken is a connection that ended without an answer or an error.
	Broken Outcome = "Broken"
	// Wrong is an answer that is not that of the prompt.
	Wrong Outcome = "Wrong"
	// Unreachable means that no host took the connection.
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
	Ran     string
	// First is the time to the first token, Total that to the last byte.
	First time.Duration
	Total time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// CallKey is the idempotency key of a call.
	CallKey string
	// RanByAttempt holds Ran of each attempt of a call that may not be repeated;
	// it is empty for an attempt without an answer.
	RanByAttempt []string
	// Trace is the identifier of the request's trace; it is empty if the request
	// was not traced.
	Trace string
	// Host is the address that accepted the connection, StartedAt the time at
	// which the request was sent.
	Host      string
	StartedAt time.Time
}

// Sender sends to Hosts in turn, like a balancer that passes by hosts that
// don't accept connections.
type Sender struct {
	Hosts []string
	Model string
	// Verify compares answers with those of the engine stand-in.
	Verify bool
	// MaxRetries bounds how often a call is sent again under its idempotency key.
	MaxRetries int
	// ShouldTrace reports whether the hosts are to trace a request; nil means that
	// no request is traced.
	ShouldTrace func(mixer.Request) bool
	// TimeLimit is sent with each request; 0 leaves the route's.
	TimeLimit time.Duration

	once sync.Once
	htc  *http.Client
	mu   sync.Mutex
	down map[string]time.Time
}

func (sen *Sender) client() *http.Client {
	sen.once.Do(func() {
		sen.htc = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConns, DisableCompression: true}}
	})
	return sen.htc
}

// Send runs one request to its end.
func (sen *Sender) Send(ctx context.Context, req mixer.Request, text string) Result {
	beg := time.Now()
	var res Result
	if req.Kind == mixer.KindPrompt {
		res = sen.prompt(ctx, req, text)
	} else {
		res = sen.call(ctx, req)
	}
	res.StartedAt = beg
	if res.Total == 0 {
		res.Total = time.Since(beg)
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
	beg := time.Now()
	hea := http.Header{}
	trace := ""
	if sen.ShouldTrace != nil && sen.ShouldTrace(req) {
		trace = traceID()
		hea.Set("Traceparent", "00-"+trace+"-"+trace[:16]+"-01")
	}
	res, hos, err := sen.post(ctx, req, body, hea)
	if err != nil {
		return unanswered(req, hos, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return refused(req, hos, res, beg)
	}
	out := sen.stream(req, text, res, beg)
	out.Host = hos
	out.Trace = trace
	return out
}

// traceID is a random identifier that is not all zeros in either half.
func traceID() string { return fmt.Sprintf("%016x%016x", rand.Uint64()|1, rand.Uint64()|1) }

func unanswered(req mixer.Request, hos string, err error) Result {
	res := Result{Request: req, Outcome: Broken, Code: err.Error(), Host: hos}
	if isDial(err) {
		res.Outcome = Unreachable
	}
	return res
}

func isDial(err error) bool {
	var ope *net.OpError
	return errors.As(err, &ope) && ope.Op == "dial"
}

// post tries hosts until one takes the connection and returns that host.
func (sen *Sender) post(ctx context.Context, req mixer.Request, body []byte, hea http.Header) (*http.Response, string, error) {
	var las error
	for _, hos := range sen.order(time.Now()) {
		htr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hos+req.Path, bytes.NewReader(body))
		if err != nil {
			return nil, hos, err
		}
		htr.Header = hea.Clone()
		htr.Header.Set("Authorization", "Bearer "+req.Key)
		htr.Header.Set("Content-Type", "application/json")
		if sen.TimeLimit > 0 {
			htr.Header.Set(receiver.TimeLimitHeader, sen.TimeLimit.String())
		}
		res, err := sen.client().Do(htr)
		if err == nil {
			return res, hos, nil
		}
		las = err
		if !isDial(err) {
			return nil, hos, err
		}
		sen.markDown(hos, time.Now())
	}
	return nil, "", las
}

// order returns the hosts from a random start, those seen down last.
func (sen *Sender) order(now time.Time) []string {
	sen.mu.Lock()
	defer sen.mu.Unlock()
	var ups, downs []string
	sta := rand.IntN(len(sen.Hosts))
	for ind := range sen.Hosts {
		hos := sen.Hosts[(sta+ind)%len(sen.Hosts)]
		if now.Before(sen.down[hos]) {
			downs = append(downs, hos)
			continue
		}
		ups = append(ups, hos)
	}
	return append(ups, downs...)
}

func (sen *Sender) markDown(hos string, now time.Time) {
	sen.mu.Lock()
	defer sen.mu.Unlock()
	if sen.down == nil {
		sen.down = map[string]time.Time{}
	}
	sen.down[hos] = now.Add(hostDownFor)
}

func refused(req mixer.Request, hos string, res *http.Response, beg time.Time) Result {
	var bod struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.NewDecoder(res.Body).Decode(&bod)
	out := Result{Request: req, Outcome: Failed, Host: hos, Status: res.StatusCode, Code: bod.Error.Code, Message: bod.Error.Message, Ran: res.Header.Get(responder.RunHeader), Total: time.Since(beg)}
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

// stream reads an answer and judges it.
func (sen *Sender) stream(req mixer.Request, text string, res *http.Response, beg time.Time) Result {
	out := Result{Request: req, Outcome: Broken, Status: res.StatusCode, Ran: res.Header.Get(responder.RunHeader)}
	var got bytes.Buffer
	las := beg
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
			out.First = now.Sub(beg)
		} else {
			out.Gaps = append(out.Gaps, now.Sub(las))
		}
		las = now
		tokens++
		got.WriteString(chu.Choices[0].Text)
	}
	out.Total = time.Since(beg)
	if !done {
		return out
	}
	out.Outcome = sen.judge(req, text, got.String(), out.Total)
	return out
}

func (sen *Sender) judge(req mixer.Request, text, got string, total time.Duration) Outcome {
	if sen.Verify && req.PromptTokens <= verifyTokens && got != expected(text, req.AnswerTokens) {
		return Wrong
	}
	if total > req.LatencyTarget {
		return Late
	}
	return Whole
}

func expected(text string, tokens int64) string {
	var buf bytes.Buffer
	for ind := range tokens {
		buf.WriteString(generator.TokenText(text, 0, ind))
	}
	return buf.String()
}

// call sends a call to a plain service. Calls that may not be repeated carry a
// key of their own and are sent again under it while their end is not known to
// the caller.
func (sen *Sender) call(ctx context.Context, req mixer.Request) Result {
	if req.Kind != mixer.KindOnce {
		return sen.callOnce(ctx, req, "")
	}
	key := uuid.Must(uuid.NewV7()).String()
	var says []string
	for try := 0; ; try++ {
		res := sen.callOnce(ctx, req, key)
		says = append(says, res.Ran)
		res.CallKey = key
		res.RanByAttempt = says
		if res.Status == http.StatusOK || try >= sen.MaxRetries || !pause(ctx, repeatPause) {
			return res
		}
	}
}

// pause waits and reports whether ctx still lasts.
func pause(ctx context.Context, dur time.Duration) bool {
	select {
	case <-time.After(dur):
		return true
	case <-ctx.Done():
		return false
	}
}

func (sen *Sender) callOnce(ctx context.Context, req mixer.Request, key string) Result {
	beg := time.Now()
	hea := http.Header{}
	if key != "" {
		hea.Set("Idempotency-Key", key)
	}
	res, hos, err := sen.post(ctx, req, []byte(`{"Order":1}`), hea)
	if err != nil {
		return unanswered(req, hos, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return refused(req, hos, res, beg)
	}
	_, err = io.Copy(io.Discard, res.Body)
	out := Result{Request: req, Outcome: Whole, Status: res.StatusCode, Ran: res.Header.Get(responder.RunHeader), Total: time.Since(beg), Host: hos}
	out.First = out.Total
	switch {
	case err != nil:
		out.Outcome = Broken
	case out.Total > req.LatencyTarget:
		out.Outcome = Late
	}
	return out
}
