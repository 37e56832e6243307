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
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// streamBufferBytes holds some dozens of tokens that arrived together.
	streamBufferBytes = 8 << 10
	// EventTimeout bounds the time without any sign of life on a stream.
	// Engines send one every 500 ms.
	EventTimeout = 1500 * time.Millisecond
	// uploadRate is the least rate, in bytes a second, at which an engine
	// takes a prompt.
	uploadRate = 16 << 20
)

// Headers with which an engine confirms what it answers.
const (
	EngineRequestHeader = "Engine-Request-Id"
	EngineAttemptHeader = "Engine-Attempt"
	EngineModelHeader   = "Engine-Model"
	EnginePromptHeader  = "Engine-Prompt-Tokens"
)

// ErrMismatch marks an answer to something that was not asked.
var ErrMismatch = eris.New("invoker: the answer is to another request")

// Event is one step of an engine's answer: Token, Finish or Idle.
type Event interface{ event() }

// Token is one generated token. Attempt and RequestID tie it to its dispatch.
type Token struct {
	RequestID string
	Attempt   int
	Index     int64
	Text      string
}

// Finish ends a complete answer.
type Finish struct {
	RequestID string
	Attempt   int
	// Reason is "length" at the limit of tokens or "stop" at the model's own end.
	Reason           string
	PromptTokens     int64
	CachedTokens     int64
	CompletionTokens int64
}

// Idle shows that the engine is alive while it has no token to send.
type Idle struct {
	// Prefilled counts the prompt tokens done.
	Prefilled int64
	// Ahead counts the sequences that are scheduled before this one.
	Ahead int64
}

func (Token) event()  {}
func (Finish) event() {}
func (Idle) event()   {}

// Stream is one running answer of an engine. It is used by one goroutine.
type Stream struct {
	peer   string
	ctx    context.Context
	cancel context.CancelFunc
	body   io.ReadCloser
	reader *bufio.Reader
	// watch closes the connection when nothing arrives in time.
	watch  *time.Timer
	silent atomic.Bool
	// ran turns Ran with the first token; before it the engine may not have
	// begun.
	ran  Execution
	scan scanner
	// again holds tokens that are read once more.
	again []Token
}

// Generate dispatches a request to the engine at address and returns its
// stream. The stream must be closed.
func (inv *Invoker) Generate(ctx context.Context, address string, gen GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(gen)
	if err != nil {
		return nil, &Error{Step: "Invoker.Generate: encode", Peer: address, Ran: NotRun, Err: err}
	}
	str := &Stream{peer: address, ran: Unknown}
	str.ctx, str.cancel = context.WithCancel(ctx)
	str.watch = time.AfterFunc(EventTimeout+uploadTime(len(body)), str.giveUp)
	req, err := http.NewRequestWithContext(str.ctx, http.MethodPost, "http://"+address+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		defer str.Close()
		return nil, &Error{Step: "Invoker.Generate: build", Peer: address, Ran: NotRun, Err: err}
	}
	inject(ctx, req)
	res, err := inv.client(peer{address: address}).Do(req)
	if err != nil {
		defer str.Close()
		return nil, str.openError(err)
	}
	str.watch.Stop()
	str.attach(res.Body)
	if res.StatusCode != http.StatusOK {
		defer str.Close()
		defer res.Body.Close()
		return nil, replyError("Invoker.Generate: refused", address, res)
	}
	if err := checkReply(res.Header, gen); err != nil {
		defer str.Close()
		return nil, &Error{Step: "Invoker.Generate: check", Peer: address, Code: "mismatch", Ran: Unknown, Err: err}
	}
	str.scan.requestID = gen.RequestID
	return str, nil
}

func (str *Stream) attach(body io.ReadCloser) {
	str.body = body
	str.reader = bufio.NewReaderSize(body, streamBufferBytes)
}

func uploadTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / uploadRate
}

// openError reports a dispatch that got no reply. The silence of a connection
// tells nothing about what the engine did.
func (str *Stream) openError(err error) error {
	if str.silent.Load() {
		return &Error{Step: "Invoker.Generate: silent", Peer: str.peer, Ran: Unknown, Err: ErrUnresponsive}
	}
	return &Error{Step: "Invoker.Generate: send", Peer: str.peer, Ran: ranAfterSend(err), Err: err}
}

func checkReply(hea http.Header, gen GenerateRequest) error {
	wants := []struct{ header, want string }{
		{EngineRequestHeader, gen.RequestID},
		{EngineAttemptHeader, strconv.Itoa(gen.Attempt)},
		{EngineModelHeader, gen.Model},
		{EnginePromptHeader, strconv.FormatInt(gen.PromptTokens, 10)},
	}
	for _, wan := range wants {
		if got := hea.Get(wan.header); got != wan.want {
			return eris.Wrapf(ErrMismatch, "%s is %.64q, want %q", wan.header, got, wan.want)
		}
	}
	return nil
}

func (str *Stream) giveUp() {
	str.silent.Store(true)
	str.cancel()
}

// Next waits for the next event. It fails when nothing arrives within timeout;
// the connection, and only this one, is then closed.
func (str *Stream) Next(timeout time.Duration) (Event, error) {
	if len(str.again) > 0 {
		tok := str.again[0]
		str.again = str.again[1:]
		return tok, nil
	}
	str.watch.Reset(timeout)
	defer str.watch.Stop()
	eve, err := str.scan.next(str.reader)
	if err != nil {
		return nil, str.readError(err)
	}
	if _, ok := eve.(Token); ok {
		str.ran = Ran
	}
	return eve, nil
}

func (str *Stream) readError(err error) error {
	out := &Error{Step: "Stream.Next", Peer: str.peer, Ran: str.ran, Err: err}
	var rep *reportedError
	switch {
	case str.silent.Load():
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

// Unread gives tokens back that were read last, to be read again.
func (str *Stream) Unread(toks []Token) { str.again = toks }

// Buffered reports whether a whole event waits that Next would return without
// reading from the connection.
func (str *Stream) Buffered() bool {
	if len(str.again) > 0 {
		return true
	}
	cou := str.reader.Buffered()
	if cou == 0 {
		return false
	}
	buf, _ := str.reader.Peek(cou)
	return bytes.Contains(buf, []byte("\n\n"))
}

// Close gives the stream up. The engine stops the sequence when it notices;
// Cancel makes it certain.
func (str *Stream) Close() {
	str.watch.Stop()
	str.cancel()
	if str.body != nil {
		str.body.Close()
	}
}
