package invoker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tmaxmax/go-sse"
)

const (
	maxEventBytes = 1 << 20
	maxReplyBytes = 16 << 20
)

// Owner identifies the host process that an engine's work belongs to.
type Owner struct {
	Host        string
	Incarnation uint64
}

// Part is the share of a group of engines that holds a piece of one prompt.
type Part struct {
	Endpoint      string
	Address       string
	Tokens        int64
	ReservationID string
}

// GenerateRequest starts or resumes one sequence on an engine.
type GenerateRequest struct {
	RequestID string
	// Attempt numbers the dispatches of a request from 1.
	Attempt      int
	Owner        Owner
	Model        string
	Prompt       string
	PromptTokens int64
	MaxTokens    int64
	Seed         int64
	Priority     int
	// StartIndex is the index of the first token wanted.
	StartIndex int64
	// Generated is the text of the tokens before StartIndex.
	Generated string
	BudgetMs  int64
	// ReservationID names memory reserved earlier for the request.
	ReservationID string
	// Group lists the engines that hold the prompt together, the addressed one first.
	Group []Part
}

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
	RequestID        string
	Attempt          int
	Reason           string
	PromptTokens     int64
	CachedTokens     int64
	CompletionTokens int64
}

// Idle shows that the engine is alive while it has no token to send.
type Idle struct{}

func (Token) event()  {}
func (Finish) event() {}
func (Idle) event()   {}

// Stream is one running answer of an engine.
type Stream struct {
	peer   string
	events chan Event
	err    error
	cancel context.CancelFunc
}

// Generate dispatches a request to the engine at address and returns its
// stream. The stream must be closed.
func (inv *Invoker) Generate(ctx context.Context, address string, gen GenerateRequest) (*Stream, error) {
	body, err := json.Marshal(gen)
	if err != nil {
		return nil, &Error{Step: "Invoker.Generate: encode", Peer: address, Ran: NotRun, Err: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, &Error{Step: "Invoker.Generate: build", Peer: address, Ran: NotRun, Err: err}
	}
	inject(ctx, req)
	res, err := inv.client().Do(req)
	if err != nil {
		cancel()
		return nil, &Error{Step: "Invoker.Generate: send", Peer: address, Ran: ranAfterSend(err), Err: err}
	}
	if res.StatusCode != http.StatusOK {
		defer cancel()
		defer res.Body.Close()
		return nil, replyError("Invoker.Generate: refused", address, res)
	}
	str := &Stream{peer: address, events: make(chan Event), cancel: cancel}
	go str.read(ctx, res.Body)
	return str, nil
}

func (str *Stream) read(ctx context.Context, body io.ReadCloser) {
	defer close(str.events)
	defer body.Close()
	for eve, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			str.err = &Error{Step: "Stream.read", Peer: str.peer, Ran: Ran, Err: err}
			return
		}
		out, err := decodeEvent(eve)
		if err != nil {
			str.err = &Error{Step: "Stream.read: decode", Peer: str.peer, Ran: Ran, Err: err}
			return
		}
		select {
		case str.events <- out:
		case <-ctx.Done():
			str.err = &Error{Step: "Stream.read", Peer: str.peer, Ran: Ran, Err: ctx.Err()}
			return
		}
	}
	str.err = &Error{Step: "Stream.read: end before finish", Peer: str.peer, Ran: Ran, Err: io.ErrUnexpectedEOF}
}

func decodeEvent(eve sse.Event) (Event, error) {
	switch eve.Type {
	case "Token":
		var tok Token
		err := json.Unmarshal([]byte(eve.Data), &tok)
		return tok, err
	case "Finish":
		var fin Finish
		err := json.Unmarshal([]byte(eve.Data), &fin)
		return fin, err
	case "Idle":
		return Idle{}, nil
	case "Error":
		return nil, eris.Errorf("engine reports: %s", eve.Data)
	default:
		return nil, eris.Errorf("unknown event type %q", eve.Type)
	}
}

// Next waits for the next event. It fails when none comes within timeout, and
// the stream is then of no more use.
func (str *Stream) Next(ctx context.Context, timeout time.Duration) (Event, error) {
	tim := time.NewTimer(timeout)
	defer tim.Stop()
	select {
	case eve, ok := <-str.events:
		if !ok {
			return nil, str.err
		}
		return eve, nil
	case <-tim.C:
		return nil, &Error{Step: "Stream.Next: silent", Peer: str.peer, Ran: Ran, Err: ErrSilent}
	case <-ctx.Done():
		return nil, &Error{Step: "Stream.Next", Peer: str.peer, Ran: Ran, Err: ctx.Err()}
	}
}

// Close gives the stream up. The engine stops the sequence when it notices;
// Cancel makes it certain.
func (str *Stream) Close() { str.cancel() }

// Cancel stops every attempt of a request on the engine and frees its memory.
// It is idempotent.
func (inv *Invoker) Cancel(ctx context.Context, address, requestID string, own Owner) error {
	return inv.post(ctx, "Invoker.Cancel", address, "/v1/cancel", struct {
		RequestID string
		Owner     Owner
	}{requestID, own}, nil)
}

// Sequence is one holder of an engine's memory.
type Sequence struct {
	RequestID string
	Attempt   int
	Owner     Owner
	Tokens    int64
	// Kind is Running, Queued, Reservation or Export.
	Kind string
	// ID names a reservation or an export.
	ID    string
	AgeMs int64
}

// Load is an engine's lagging report of its work and memory, in tokens.
type Load struct {
	Engine             string
	Incarnation        uint64
	Role               string
	Leaving            bool
	Models             []string
	Running            int
	Queued             int
	QueuedPromptTokens int64
	MemoryTokens       int64
	UsedTokens         int64
	CachedTokens       int64
	PrefillRate        float64
	StepMs             float64
	Sequences          []Sequence
}

// Load reads the engine's report.
func (inv *Invoker) Load(ctx context.Context, address string) (Load, error) {
	var loa Load
	err := inv.get(ctx, "Invoker.Load", address, "/v1/load", &loa)
	return loa, err
}

// Reserve sets memory of an engine aside for a request. It is idempotent by
// reservation ID.
func (inv *Invoker) Reserve(ctx context.Context, address, reservationID, requestID string, own Owner, tokens int64) error {
	return inv.post(ctx, "Invoker.Reserve", address, "/v1/reserve", struct {
		ReservationID string
		RequestID     string
		Owner         Owner
		Tokens        int64
	}{reservationID, requestID, own, tokens}, nil)
}

// Release frees a reservation or an export. It is idempotent.
func (inv *Invoker) Release(ctx context.Context, address, id string) error {
	return inv.post(ctx, "Invoker.Release", address, "/v1/release", struct{ ID string }{id}, nil)
}

// CacheEvent reports a change of an engine's prefix cache. Sequence numbers
// have gaps where events were lost.
type CacheEvent struct {
	Sequence uint64
	Stored   []uint64
	Evicted  []uint64
	Cleared  bool
}

// CacheEvents reads the events after a sequence number.
func (inv *Invoker) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var eves []CacheEvent
	err := inv.post(ctx, "Invoker.CacheEvents", address, "/v1/events", struct{ After uint64 }{after}, &eves)
	return eves, err
}

// Order changes what an engine has loaded or its role.
type Order struct {
	ID string
	// Fence is the fencing number of the lease under which the order is given.
	Fence uint64
	// Kind is LoadModel, LoadAdapter, LoadVersion or ChangeRole.
	Kind    string
	Model   string
	Adapter string
	Version string
	Role    string
	// ExpectedGeneration is the engine's configuration generation that the
	// order was decided on; 0 skips the check.
	ExpectedGeneration uint64
}

// GiveOrder sends an order to an engine.
func (inv *Invoker) GiveOrder(ctx context.Context, address string, ord Order) error {
	return inv.post(ctx, "Invoker.GiveOrder", address, "/v1/orders", ord, nil)
}

// Export makes the engine keep the KV cache of a finished prefix for transfer.
func (inv *Invoker) Export(ctx context.Context, address, exportID string, own Owner, hashes []uint64) error {
	return inv.post(ctx, "Invoker.Export", address, "/v1/kv/export", struct {
		ExportID string
		Owner    Owner
		Hashes   []uint64
	}{exportID, own, hashes}, nil)
}

// Import makes the engine at address fetch an export of another engine.
func (inv *Invoker) Import(ctx context.Context, address, fromAddress, exportID string, own Owner) error {
	return inv.post(ctx, "Invoker.Import", address, "/v1/kv/import", struct {
		FromAddress string
		ExportID    string
		Owner       Owner
	}{fromAddress, exportID, own}, nil)
}
