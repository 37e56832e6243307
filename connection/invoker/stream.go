package invoker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
	// streamBufferBytes is the size of a stream's read buffer, enough for several
	// dozen token events.
	streamBufferBytes = 8 << 10
	// EventTimeout bounds the time between two events of a stream, and the time
	// to the reply after the upload. Engines send an event at least every 500 ms.
	EventTimeout = 1500 * time.Millisecond
	// minUploadRate is the lowest rate, in bytes per second, at which an engine
	// is expected to receive a prompt.
	minUploadRate = 16 << 20
)

// Headers with which an engine confirms which request it answers.
const (
	EngineRequestHeader = "Engine-Request-Id"
	EngineAttemptHeader = "Engine-Attempt"
	EngineModelHeader   = "Engine-Model"
	EnginePromptHeader  = "Engine-Prompt-Tokens"
)

// ErrMismatch reports that the engine answered a different request, attempt, model or
// prompt length.
var ErrMismatch = eris.New("invoker: the answer is to another request")

// Event is one event of an engine's answer: Token, Finish or Idle.
type Event interface{ event() }

// Token is one generated token. RequestID and Attempt identify the attempt.
type Token struct {
	RequestID string
	Attempt   int
	Index     int64
	Text      string
}

// Finish is the last event of a complete answer.
type Finish struct {
	RequestID string
	Attempt   int
	// Reason is "length" at the token limit or "stop" if the model ended the answer.
	Reason           string
	PromptTokens     int64
	CachedTokens     int64
	CompletionTokens int64
}

// Idle is sent while the engine has no token to send. It shows that the engine is
// responsive.
type Idle struct {
	// Prefilled counts the prompt tokens that have been prefilled.
	Prefilled int64
	// Ahead counts the sequences that are scheduled before this sequence.
	Ahead int64
}

func (Token) event()  {}
func (Finish) event() {}
func (Idle) event()   {}

// Stream is one running answer of an engine. It is not safe for concurrent use.
type Stream struct {
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	body    io.ReadCloser
	reader  *bufio.Reader
	// timer closes the connection when nothing arrives in time.
	timer    *time.Timer
	timedOut atomic.Bool
	// execution is Ran after the first token. Before, it is Unknown, since the engine
	// may not have started the request.
	execution Execution
	scanner   scanner
	// pushedBack holds tokens that Next returns before it reads further events.
	pushedBack []Token
}

// Generate sends a request to the engine at address and returns its
// stream. The stream must be closed.
func (inv *Invoker) Generate(ctx context.Context, address string, gen GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(gen)
	if err != nil {
		return nil, &Error{Step: "Invoker.Generate: encode", Address: address, Execution: NotRun, Err: err}
	}
	str := &Stream{address: address, execution: Unknown}
	str.scanner.data.Memory, str.scanner.longLine.Memory = inv.Memory, inv.Memory
	str.ctx, str.cancel = context.WithCancel(ctx)
	str.timer = time.AfterFunc(EventTimeout+maxUploadTime(len(body)), str.onTimeout)
	req, err := http.NewRequestWithContext(str.ctx, http.MethodPost, "http://"+address+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		defer str.Close()
		return nil, &Error{Step: "Invoker.Generate: build", Address: address, Execution: NotRun, Err: err}
	}
	setCommonHeaders(ctx, req)
	res, err := inv.client(poolKey{address: address}).Do(req)
	if err != nil {
		defer str.Close()
		return nil, str.openError(err)
	}
	str.timer.Stop()
	str.setBody(res.Body)
	if res.StatusCode != http.StatusOK {
		defer str.Close()
		defer res.Body.Close()
		return nil, replyError("Invoker.Generate: refused", address, res)
	}
	if err := checkReply(res.Header, gen); err != nil {
		defer str.Close()
		return nil, &Error{Step: "Invoker.Generate: check", Address: address, Code: "mismatch", Execution: Unknown, Err: err}
	}
	str.scanner.requestID = gen.RequestID
	return str, nil
}

// setBody sets the body of the reply and its buffered reader.
func (str *Stream) setBody(body io.ReadCloser) {
	str.body = body
	str.reader = bufio.NewReaderSize(body, streamBufferBytes)
}

func maxUploadTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minUploadRate
}

// openError returns the error of a request that got no reply. After a timeout it is
// unknown whether the engine ran the request.
func (str *Stream) openError(err error) error {
	if str.timedOut.Load() {
		return &Error{Step: "Invoker.Generate: silent", Address: str.address, Execution: Unknown, Err: ErrUnresponsive}
	}
	return &Error{Step: "Invoker.Generate: send", Address: str.address, Execution: executionAfter(err), Err: err}
}

func checkReply(header http.Header, gen GenerateRequest) error {
	wants := []struct{ header, want string }{
		{EngineRequestHeader, gen.RequestID},
		{EngineAttemptHeader, strconv.Itoa(gen.Attempt)},
		{EngineModelHeader, gen.Model},
		{EnginePromptHeader, strconv.FormatInt(gen.PromptTokens, 10)},
	}
	for _, check := range wants {
		if got := header.Get(check.header); got != check.want {
			return eris.Wrapf(ErrMismatch, "%s is %.64q, want %q", check.header, got, check.want)
		}
	}
	return nil
}

func (str *Stream) onTimeout() {
	str.timedOut.Store(true)
	str.cancel()
}

// Next waits for the next event. If nothing arrives within timeout, it closes
// this stream's connection and returns ErrUnresponsive in an Error.
func (str *Stream) Next(timeout time.Duration) (Event, error) {
	if len(str.pushedBack) > 0 {
		tok := str.pushedBack[0]
		str.pushedBack = str.pushedBack[1:]
		return tok, nil
	}
	str.timer.Reset(timeout)
	defer str.timer.Stop()
	eve, err := str.scanner.next(str.reader)
	if err != nil {
		return nil, str.readError(err)
	}
	if _, ok := eve.(Token); ok {
		str.execution = Ran
	}
	return eve, nil
}

func (str *Stream) readError(err error) error {
	out := &Error{Step: "Stream.Next", Address: str.address, Execution: str.execution, Err: err}
	var rep *reportedError
	switch {
	case str.timedOut.Load():
		out.Step = "Stream.Next: silent"
		out.Err = ErrUnresponsive
	case str.ctx.Err() != nil:
		out.Err = str.ctx.Err()
	case eris.As(err, &rep):
		out.Step = "Stream.Next: engine reports"
		out.Code = rep.Code
	case eris.Is(err, errMalformed):
		out.Step = "Stream.Next: decode"
		out.Code = "malformed"
	case eris.Is(err, io.EOF):
		out.Step = "Stream.Next: end before finish"
		out.Err = io.ErrUnexpectedEOF
	}
	return out
}

// PushBack makes Next return toks again before further events. toks are the last
// tokens that Next returned.
func (str *Stream) PushBack(toks []Token) { str.pushedBack = toks }

// Buffered reports whether Next can return an event without reading from the
// connection. It may return false if an event with CRLF line ends is buffered.
func (str *Stream) Buffered() bool {
	if len(str.pushedBack) > 0 {
		return true
	}
	n := str.reader.Buffered()
	if n == 0 {
		return false
	}
	buf, _ := str.reader.Peek(n)
	return bytes.Contains(buf, []byte("\n\n"))
}

// Close closes the connection of the stream. The engine stops the sequence when it
// detects the closed connection; Invoker.Cancel stops the sequence reliably.
func (str *Stream) Close() {
	str.timer.Stop()
	str.cancel()
	if str.body != nil {
		str.body.Close()
	}
	str.scanner.release()
}
