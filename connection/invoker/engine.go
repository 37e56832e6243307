package invoker

import (
	"context"
	"strconv"
	"time"
)

// maxReplyBytes bounds a reply that is read into memory. The rest of a longer reply is
// not read.
const maxReplyBytes = 16 << 20

// Owner identifies the host process on whose behalf an engine works.
type Owner struct {
	Host        string
	Incarnation uint64
}

// Part is the share of one engine in a group of engines that hold one prompt
// together.
type Part struct {
	Endpoint string
	Address  string
	// Tokens is the memory of the part in tokens.
	Tokens        int64
	ReservationID string
}

// GenerateRequest starts or resumes one sequence on an engine.
type GenerateRequest struct {
	RequestID string
	// Attempt is the number of this attempt of the request, from 1.
	Attempt      int
	Owner        Owner
	Model        string
	Prompt       string
	PromptTokens int64
	MaxTokens    int64
	Seed         int64
	Priority     int
	// StartIndex is the index of the first token to return.
	StartIndex int64
	// Generated is the text of the tokens before StartIndex.
	Generated string
	// BudgetMs is the time until the request's deadline.
	BudgetMs int64
	// ReservationID identifies memory reserved earlier for the request.
	ReservationID string
	// Group lists the engines that hold the prompt together, the called engine first.
	Group []Part
}

// Cancel stops the attempts of a request up to the given attempt number and
// frees their memory. Work of another owner or of a newer attempt is not
// affected. It is idempotent.
func (inv *Invoker) Cancel(ctx context.Context, address, requestID string, attempt int, own Owner) error {
	return inv.post(ctx, "Invoker.Cancel", address, "/v1/cancel", struct {
		RequestID string
		Attempt   int
		Owner     Owner
	}{requestID, attempt, own})
}

// MemoryHolder is one holder of an engine's memory: a running or queued request, a
// reservation or an export.
type MemoryHolder struct {
	RequestID string
	Attempt   int
	Owner     Owner
	// Tokens is the memory in tokens.
	Tokens int64
	// Kind is Running, Queued, Reservation or Export.
	Kind string
	// ID identifies a reservation or an export.
	ID string
	// AgeMs is the time since the work was accepted.
	AgeMs int64
	// IdleMs is the time since the work last made progress or since a connection
	// was last attached to it.
	IdleMs int64
	// ExpiresMs is the time until the owner's deadline when the report was made;
	// negative after the deadline.
	ExpiresMs int64
	// Detached marks work whose connection was closed.
	Detached bool
}

// Expired reports whether the owner's deadline has passed by more than margin.
// The age is the time since the report was made.
func (hol MemoryHolder) Expired(age, margin time.Duration) bool {
	return time.Duration(hol.ExpiresMs)*time.Millisecond < age-margin
}

// Load is an engine's load report. Memory is counted in tokens. The report lags behind
// the engine's state.
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
	// PrefillRate is in tokens per second; StepMs is the duration of one decode step.
	PrefillRate float64
	StepMs      float64
	// AgeMs is the age of the report when it was sent.
	AgeMs     int64
	Sequences []MemoryHolder
	// Partial marks a report without Sequences, as read by Summary.
	Partial bool `json:"-"`
}

// Load reads the engine's full load report.
func (inv *Invoker) Load(ctx context.Context, address string) (Load, error) {
	var loa Load
	err := inv.get(ctx, "Invoker.Load", address, "/v1/load", &loa)
	return loa, err
}

// Summary reads the engine's load report without the holders of its memory.
func (inv *Invoker) Summary(ctx context.Context, address string) (Load, error) {
	var loa Load
	err := inv.get(ctx, "Invoker.Summary", address, "/v1/load?Holders=None", &loa)
	loa.Partial = true
	return loa, err
}

// Suspects reads a load report that lists only the memory holders that may have been
// abandoned: without a connection, without progress for minIdle, or past their
// deadline. The list lags like the full report and is almost always empty in normal
// operation.
func (inv *Invoker) Suspects(ctx context.Context, address string, minIdle time.Duration) (Load, error) {
	var loa Load
	err := inv.get(ctx, "Invoker.Suspects", address, "/v1/load?MinIdleMs="+strconv.FormatInt(minIdle.Milliseconds(), 10), &loa)
	return loa, err
}

// Reservation is memory of an engine that is reserved for a request.
type Reservation struct {
	ReservationID string
	RequestID     string
	Owner         Owner
	// Tokens is the reserved memory in tokens.
	Tokens int64
	// BudgetMs is the time until the request's deadline; 0 selects the engine's
	// default.
	BudgetMs int64
	// WaitMs is how long the engine may delay its reply until memory is free.
	WaitMs int64
}

// ReserveFor reserves memory of an engine until the reservation is released or its
// BudgetMs has passed. It is idempotent by reservation ID.
func (inv *Invoker) ReserveFor(ctx context.Context, address string, res Reservation) error {
	return inv.post(ctx, "Invoker.ReserveFor", address, "/v1/reserve", res)
}

// FreeRequest identifies the memory holder to free. A newer holder of the same
// request is not affected.
type FreeRequest struct {
	// Kind is Running, Queued, Reservation or Export, as in MemoryHolder.
	Kind      string
	ID        string
	RequestID string
	Attempt   int
	Owner     Owner
}

// Free releases the memory of a holder of any kind whose owner no longer uses it.
// Release frees only a reservation or an export, by its identifier; Cancel stops
// attempts of a request. Free is idempotent.
func (inv *Invoker) Free(ctx context.Context, address string, fre FreeRequest) error {
	return inv.post(ctx, "Invoker.Free", address, "/v1/free", fre)
}

// Reserve reserves memory of an engine for a request, with the engine's default
// deadline and without waiting. It is idempotent by reservation ID.
func (inv *Invoker) Reserve(ctx context.Context, address, reservationID, requestID string, own Owner, tokens int64) error {
	return inv.ReserveFor(ctx, address, Reservation{ReservationID: reservationID, RequestID: requestID, Owner: own, Tokens: tokens})
}

// Release frees a reservation or an export by its identifier. It is idempotent.
func (inv *Invoker) Release(ctx context.Context, address, id string) error {
	return inv.post(ctx, "Invoker.Release", address, "/v1/release", struct{ ID string }{id})
}

// CacheEvent reports a change of an engine's prefix cache. A gap in the sequence
// numbers means that events were lost.
type CacheEvent struct {
	Sequence uint64
	// Stored and Evicted are chained hashes of prefix blocks.
	Stored  []uint64
	Evicted []uint64
	Cleared bool
}

// Order instructs an engine to load a model, an adapter or a version, or to change its
// role.
type Order struct {
	ID string
	// Fence is the fencing number of the lease under which the order is issued.
	Fence uint64
	// Kind is LoadModel, LoadAdapter, LoadVersion or ChangeRole.
	Kind    string
	Model   string
	Adapter string
	Version string
	Role    string
	// ExpectedGeneration is the generation of the engine's configuration on
	// which the order is based; 0 skips the check.
	ExpectedGeneration uint64
}

// SendOrder sends an order to an engine. The step in its errors stays
// Invoker.GiveOrder, because operators see the text of the errors.
func (inv *Invoker) SendOrder(ctx context.Context, address string, ord Order) error {
	return inv.post(ctx, "Invoker.GiveOrder", address, "/v1/orders", ord)
}

// Export makes the engine keep the KV cache of a completed prefix for transfer. The
// hashes are the chained hashes of the prefix blocks.
func (inv *Invoker) Export(ctx context.Context, address, exportID string, own Owner, hashes []uint64) error {
	return inv.post(ctx, "Invoker.Export", address, "/v1/kv/export", struct {
		ExportID string
		Owner    Owner
		Hashes   []uint64
	}{exportID, own, hashes})
}

// Import makes the engine at address fetch an export from the engine at
// fromAddress.
func (inv *Invoker) Import(ctx context.Context, address, fromAddress, exportID string, own Owner) error {
	return inv.post(ctx, "Invoker.Import", address, "/v1/kv/import", struct {
		FromAddress string
		ExportID    string
		Owner       Owner
	}{fromAddress, exportID, own})
}
