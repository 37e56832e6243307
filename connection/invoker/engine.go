package invoker

import (
	"context"
	"strconv"
	"time"
)

const maxReplyBytes = 16 << 20

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

// Cancel stops the attempts of a request up to the given one and frees their
// memory. Work of another owner or of a newer attempt is left alone. It is
// idempotent.
func (inv *Invoker) Cancel(ctx context.Context, address, requestID string, att int, own Owner) error {
	return inv.post(ctx, "Invoker.Cancel", address, "/v1/cancel", struct {
		RequestID string
		Attempt   int
		Owner     Owner
	}{requestID, att, own})
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
	ID string
	// AgeMs is the time since the work was accepted.
	AgeMs int64
	// IdleMs is the time since the work last moved or was last attached.
	IdleMs int64
	// ExpiresMs is the time until the owner's deadline, negative after it. It
	// is as of the report.
	ExpiresMs int64
	// Detached marks work whose connection has gone.
	Detached bool
}

// Expired reports whether the owner's deadline had passed by more than margin
// at age after the report.
func (seq Sequence) Expired(age, margin time.Duration) bool {
	return time.Duration(seq.ExpiresMs)*time.Millisecond < age-margin
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
	// AgeMs is the age of the report when it was sent.
	AgeMs     int64
	Sequences []Sequence
	// Partial marks a report without sequences.
	Partial bool `json:"-"`
}

// Load reads the engine's report.
func (inv *Invoker) Load(ctx context.Context, address string) (Load, error) {
	var loa Load
	err := inv.get(ctx, "Invoker.Load", address, "/v1/load", &loa)
	return loa, err
}

// Summary reads the engine's report without who holds its memory.
func (inv *Invoker) Summary(ctx context.Context, address string) (Load, error) {
	var loa Load
	err := inv.get(ctx, "Invoker.Summary", address, "/v1/load?Holders=None", &loa)
	loa.Partial = true
	return loa, err
}

// Suspects reads which holders of an engine's memory may be lost, with the lag
// of the load report: those without a connection, those that did not move for
// minIdle, and those past their deadline. In plain use there are next to none.
func (inv *Invoker) Suspects(ctx context.Context, address string, minIdle time.Duration) (Load, error) {
	var loa Load
	err := inv.get(ctx, "Invoker.Suspects", address, "/v1/load?MinIdleMs="+strconv.FormatInt(minIdle.Milliseconds(), 10), &loa)
	return loa, err
}

// Reservation is memory of an engine that is set aside for a request.
type Reservation struct {
	ReservationID string
	RequestID     string
	Owner         Owner
	Tokens        int64
	// BudgetMs is the time until the request's deadline; 0 stands for the
	// engine's default.
	BudgetMs int64
	// WaitMs is how long the engine may keep the call until memory is free.
	WaitMs int64
}

// ReserveFor sets memory of an engine aside until it is released. It is
// idempotent by reservation ID.
func (inv *Invoker) ReserveFor(ctx context.Context, address string, res Reservation) error {
	return inv.post(ctx, "Invoker.ReserveFor", address, "/v1/reserve", res)
}

// Free names one holder of memory exactly, so that nothing newer is freed.
type Free struct {
	// Kind is Running or Queued for a sequence, Reservation or Export for a hold.
	Kind      string
	ID        string
	RequestID string
	Attempt   int
	Owner     Owner
}

// Free releases what a lost owner held. It is idempotent.
func (inv *Invoker) Free(ctx context.Context, address string, fre Free) error {
	return inv.post(ctx, "Invoker.Free", address, "/v1/free", fre)
}

// Reserve sets memory of an engine aside for a request. It is idempotent by
// reservation ID.
func (inv *Invoker) Reserve(ctx context.Context, address, reservationID, requestID string, own Owner, tokens int64) error {
	return inv.ReserveFor(ctx, address, Reservation{ReservationID: reservationID, RequestID: requestID, Owner: own, Tokens: tokens})
}

// Release frees a reservation or an export. It is idempotent.
func (inv *Invoker) Release(ctx context.Context, address, id string) error {
	return inv.post(ctx, "Invoker.Release", address, "/v1/release", struct{ ID string }{id})
}

// CacheEvent reports a change of an engine's prefix cache. Sequence numbers
// have gaps where events were lost.
type CacheEvent struct {
	Sequence uint64
	Stored   []uint64
	Evicted  []uint64
	Cleared  bool
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

// SendOrder sends an order to an engine.
func (inv *Invoker) SendOrder(ctx context.Context, address string, ord Order) error {
	return inv.post(ctx, "Invoker.GiveOrder", address, "/v1/orders", ord)
}

// Export makes the engine keep the KV cache of a finished prefix for transfer.
func (inv *Invoker) Export(ctx context.Context, address, exportID string, own Owner, hashes []uint64) error {
	return inv.post(ctx, "Invoker.Export", address, "/v1/kv/export", struct {
		ExportID string
		Owner    Owner
		Hashes   []uint64
	}{exportID, own, hashes})
}

// Import makes the engine at address fetch an export of another engine.
func (inv *Invoker) Import(ctx context.Context, address, fromAddress, exportID string, own Owner) error {
	return inv.post(ctx, "Invoker.Import", address, "/v1/kv/import", struct {
		FromAddress string
		ExportID    string
		Owner       Owner
	}{fromAddress, exportID, own})
}
