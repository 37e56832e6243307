package generator

import (
	"cmp"
	"slices"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/hasher"

	"github.com/cespare/xxhash/v2"
)

// maxUnread bounds the tokens that a sequence is ahead of its reader.
const maxUnread = 256

// sequence is one request on the engine.
type sequence struct {
	req invoker.GenerateRequest
	// arrival orders sequences of one priority.
	arrival uint64
	blocks  []uint64
	digest  xxhash.Digest
	// pinned are the cached blocks that the sequence uses.
	pinned []uint64
	// prefilled counts towards total, the tokens to compute before the next one.
	prefilled int64
	cached    int64
	// next is the index of the next token to generate, read that of the next
	// one for the reader.
	next   int64
	read   int64
	memory int64
	done   bool
	failed *failure

	queuedAt   time.Time
	movedAt    time.Time
	expiresAt  time.Time
	detachedAt time.Time
	// sink is the attempt whose connection is attached; 0 for none.
	sink   int
	notify chan struct{}
}

// failure ends a sequence with an error event.
type failure struct {
	Code    string
	Message string
}

func newSequence(req invoker.GenerateRequest, now time.Time) *sequence {
	seq := &sequence{
		next: req.StartIndex, queuedAt: now, movedAt: now, blocks: hasher.Blocks(req.Prompt),
		digest: *xxhash.New(), notify: make(chan struct{}, 1),
	}
	_, _ = seq.digest.WriteString(req.Prompt)
	seq.attach(req, now)
	return seq
}

// attach makes a dispatch the reader of the sequence.
func (seq *sequence) attach(req invoker.GenerateRequest, now time.Time) {
	seq.req = req
	seq.sink = req.Attempt
	seq.read = req.StartIndex
	seq.expiresAt = now.Add(time.Duration(req.BudgetMs) * time.Millisecond)
	seq.detachedAt = time.Time{}
	seq.tell()
}

// tell wakes the reader.
func (seq *sequence) tell() {
	select {
	case seq.notify <- struct{}{}:
	default:
	}
}

// total is what must be computed before the next token.
func (seq *sequence) total() int64 { return seq.req.PromptTokens + seq.next }

func (seq *sequence) prefilling() bool { return seq.prefilled < seq.total() }

// reserved reports whether the sequence lives in memory reserved for its group.
func (seq *sequence) reserved() bool { return seq.req.ReservationID != "" }

func byUrgency(one, two *sequence) int {
	if one.req.Priority != two.req.Priority {
		return cmp.Compare(two.req.Priority, one.req.Priority)
	}
	return cmp.Compare(one.arrival, two.arrival)
}

// add queues a sequence. The caller holds the lock.
func (gen *Generator) add(seq *sequence) {
	gen.arrivals++
	seq.arrival = gen.arrivals
	gen.sequences[seq.req.RequestID] = seq
	gen.queue(seq)
}

func (gen *Generator) queue(seq *sequence) {
	ind, _ := slices.BinarySearchFunc(gen.waiting, seq, byUrgency)
	gen.waiting = slices.Insert(gen.waiting, ind, seq)
}

// ahead counts the sequences that are scheduled before this one.
func (gen *Generator) ahead(seq *sequence) int64 {
	if ind := slices.Index(gen.waiting, seq); ind >= 0 {
		return int64(ind + len(gen.running))
	}
	return 0
}

// end stops a sequence and frees its memory; its record stays for the reader.
func (gen *Generator) end(seq *sequence) {
	is := func(oth *sequence) bool { return oth == seq }
	gen.waiting = slices.DeleteFunc(gen.waiting, is)
	gen.running = slices.DeleteFunc(gen.running, is)
	gen.vacate(seq)
	seq.done = true
	seq.tell()
}

// remove forgets a sequence.
func (gen *Generator) remove(seq *sequence) {
	gen.end(seq)
	seq.sink = 0
	if gen.sequences[seq.req.RequestID] == seq {
		delete(gen.sequences, seq.req.RequestID)
	}
}

func (gen *Generator) fail(seq *sequence, fai failure) {
	if seq.done {
		return
	}
	gen.end(seq)
	seq.failed = &fai
	seq.tell()
}

// detach notes that the connection of an attempt has gone.
func (gen *Generator) detach(seq *sequence, att int, now time.Time) {
	if seq.sink != att {
		return
	}
	seq.sink = 0
	seq.detachedAt = now
}

// dropDetached removes the sequences whose owner did not return in time.
func (gen *Generator) dropDetached(now time.Time) {
	if gen.faults.KeepDetached {
		return
	}
	for _, seq := range gen.sequences {
		if seq.sink == 0 && now.Sub(seq.detachedAt) > gen.set.DetachGrace {
			gen.remove(seq)
		}
	}
}
