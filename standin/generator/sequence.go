package generator

import (
	"cmp"
	"slices"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/hasher"

	"github.com/cespare/xxhash/v2"
)

// maxUnread bounds the generated tokens that the reader has not received yet.
const maxUnread = 256

// sequence is one request on the engine.
type sequence struct {
	req invoker.GenerateRequest
	// arrival orders sequences of the same priority.
	arrival uint64
	blocks  []uint64
	digest  xxhash.Digest
	// pinned are the cached blocks that the sequence uses.
	pinned []uint64
	// prefilled is the number of computed tokens, out of contextTokens.
	prefilled int64
	cached    int64
	// next is the index of the next token to generate, nextRead the index of the
	// next token to send to the reader.
	next     int64
	nextRead int64
	memory   int64
	done     bool
	failed   *failure

	queuedAt   time.Time
	progressAt time.Time
	expiresAt  time.Time
	detachedAt time.Time
	// attachedAttempt is the attempt whose connection reads the sequence; 0 means
	// none.
	attachedAttempt int
	notify          chan struct{}
}

// failure is the error event that ends a sequence.
type failure struct {
	Code    string
	Message string
}

func newSequence(req invoker.GenerateRequest, now time.Time) *sequence {
	seq := &sequence{
		next: req.StartIndex, queuedAt: now, progressAt: now, blocks: hasher.Blocks(req.Prompt),
		digest: *xxhash.New(), notify: make(chan struct{}, 1),
	}
	_, _ = seq.digest.WriteString(req.Prompt)
	seq.attach(req, now)
	return seq
}

// attach makes the connection of an attempt the reader of the sequence.
func (seq *sequence) attach(req invoker.GenerateRequest, now time.Time) {
	seq.req = req
	seq.attachedAttempt = req.Attempt
	seq.nextRead = req.StartIndex
	seq.expiresAt = now.Add(time.Duration(req.BudgetMs) * time.Millisecond)
	seq.detachedAt = time.Time{}
	seq.notifyReader()
}

// notifyReader wakes the reader's stream without blocking.
func (seq *sequence) notifyReader() {
	select {
	case seq.notify <- struct{}{}:
	default:
	}
}

// contextTokens returns the tokens that must be prefilled before the next token
// is generated: the prompt and the generated tokens.
func (seq *sequence) contextTokens() int64 { return seq.req.PromptTokens + seq.next }

func (seq *sequence) prefilling() bool { return seq.prefilled < seq.contextTokens() }

// reserved reports whether the sequence uses memory reserved for its group.
func (seq *sequence) reserved() bool { return seq.req.ReservationID != "" }

// byPriority sorts sequences by priority, the highest first, and then by arrival.
func byPriority(a, b *sequence) int {
	if a.req.Priority != b.req.Priority {
		return cmp.Compare(b.req.Priority, a.req.Priority)
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// add queues a sequence. The caller holds the lock.
func (gen *Generator) add(seq *sequence) {
	gen.arrivals++
	seq.arrival = gen.arrivals
	gen.sequences[seq.req.RequestID] = seq
	gen.queue(seq)
}

func (gen *Generator) queue(seq *sequence) {
	i, _ := slices.BinarySearchFunc(gen.waiting, seq, byPriority)
	gen.waiting = slices.Insert(gen.waiting, i, seq)
}

// ahead counts the sequences before a waiting one: all running sequences and
// those before it in the queue. It returns 0 for a running sequence.
func (gen *Generator) ahead(seq *sequence) int64 {
	if i := slices.Index(gen.waiting, seq); i >= 0 {
		return int64(i + len(gen.running))
	}
	return 0
}

// finishSequence stops a sequence and frees its memory. Its record is kept until
// the reader has received the rest of the answer.
func (gen *Generator) finishSequence(seq *sequence) {
	same := func(other *sequence) bool { return other == seq }
	gen.waiting = slices.DeleteFunc(gen.waiting, same)
	gen.running = slices.DeleteFunc(gen.running, same)
	gen.freeMemory(seq)
	seq.done = true
	seq.notifyReader()
}

// remove ends a sequence, detaches its reader and drops its record.
func (gen *Generator) remove(seq *sequence) {
	gen.finishSequence(seq)
	seq.attachedAttempt = 0
	if gen.sequences[seq.req.RequestID] == seq {
		delete(gen.sequences, seq.req.RequestID)
	}
}

func (gen *Generator) fail(seq *sequence, fai failure) {
	if seq.done {
		return
	}
	gen.finishSequence(seq)
	seq.failed = &fai
	seq.notifyReader()
}

// detach records that the connection of an attempt was lost. It does nothing if
// a newer attempt is attached.
func (gen *Generator) detach(seq *sequence, attempt int, now time.Time) {
	if seq.attachedAttempt != attempt {
		return
	}
	seq.attachedAttempt = 0
	seq.detachedAt = now
}

// dropDetached removes the sequences that no attempt resumed within DetachGrace.
func (gen *Generator) dropDetached(now time.Time) {
	if gen.faults.KeepDetached {
		return
	}
	for _, seq := range gen.sequences {
		if seq.attachedAttempt == 0 && now.Sub(seq.detachedAt) > gen.set.DetachGrace {
			gen.remove(seq)
		}
	}
}
