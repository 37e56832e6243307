// Package generator stands in for a model engine in tests: continuous batching
// with chunked prefill, a memory limit, a prefix cache, priorities, cancel and
// resume. The text it generates is a function of prompt, seed and index, so
// that a caller's copy of an answer can be checked.
package generator

import (
	"fmt"
	"sync"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/request/hasher"

	"github.com/cespare/xxhash/v2"
)

// Settings are the sizes and speeds of the engine.
type Settings struct {
	ID           string        `long:"id" default:"engine" description:"name of the engine"`
	Listen       string        `long:"listen" default:"127.0.0.1:7100" description:"address, as IP:port"`
	Models       []string      `long:"model" description:"model that is loaded; may be repeated"`
	MemoryTokens int64         `long:"memory-tokens" default:"400000" description:"memory for prompts and answers"`
	MaxBatch     int           `long:"max-batch" default:"64" description:"sequences that run at a time"`
	PrefillRate  float64       `long:"prefill-rate" default:"200000" description:"prompt tokens a second"`
	ChunkTokens  int64         `long:"chunk-tokens" default:"4096" description:"prompt tokens a step"`
	Step         time.Duration `long:"step" default:"10ms" description:"time of a step that decodes"`
	LoadLag      time.Duration `long:"load-lag" default:"200ms" description:"lag of the load report"`
	ChecksFence  bool          `long:"checks-fencing" description:"refuse orders with an old fencing number"`
	IdleEvery    time.Duration `long:"idle-every" default:"500ms" description:"interval of signs of life on a waiting stream"`
}

// TokenText is the text of the token at an index of an answer.
func TokenText(prompt string, seed, index int64) string {
	var buf [16]byte
	for ind := range 8 {
		buf[ind] = byte(seed >> (8 * ind))
		buf[8+ind] = byte(index >> (8 * ind))
	}
	dig := xxhash.New()
	_, _ = dig.WriteString(prompt)
	_, _ = dig.Write(buf[:])
	return fmt.Sprintf(" t%04x", dig.Sum64()&0xffff)
}

// sequence is one request on the engine.
type sequence struct {
	req       invoker.GenerateRequest
	prefilled int64
	cached    int64
	next      int64
	memory    int64
	queuedAt  time.Time
	events    chan invoker.Event
	gone      chan struct{}
	closeOnce sync.Once
}

func (seq *sequence) stop() { seq.closeOnce.Do(func() { close(seq.gone) }) }

// hold is memory set aside for a request of a group or an export.
type hold struct {
	id        string
	kind      string
	requestID string
	owner     invoker.Owner
	tokens    int64
	at        time.Time
}

// Generator is the state of the engine.
type Generator struct {
	set Settings

	mu      sync.Mutex
	waiting []*sequence
	running []*sequence
	holds   map[string]hold
	cache   cache
	leaving bool
	lagged  []lagged
	faults  Faults
	wake    chan struct{}
	config  config
}

type lagged struct {
	at   time.Time
	load invoker.Load
}

// Faults are the failures switched on.
type Faults struct {
	// Freeze stops all steps while connections stay open.
	Freeze bool
	// BreakAfter ends each stream after this many tokens.
	BreakAfter int64
	// Cross sends tokens under another request's identifier.
	Cross bool
	// Leaving marks the engine as leaving.
	Leaving bool
}

// New starts an idle engine.
func New(set Settings) *Generator {
	return &Generator{set: set, holds: map[string]hold{}, wake: make(chan struct{}, 1)}
}

// Run takes steps until stop is closed.
func (gen *Generator) Run(stop <-chan struct{}) {
	for {
		dur := gen.step(time.Now())
		if dur == 0 {
			select {
			case <-gen.wake:
			case <-time.After(gen.set.Step):
			case <-stop:
				return
			}
			continue
		}
		time.Sleep(dur)
	}
}

// step admits, prefills and decodes once and returns the time that it takes.
func (gen *Generator) step(now time.Time) time.Duration {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.report(now)
	if gen.faults.Freeze {
		return gen.set.Step
	}
	gen.drop()
	gen.admit()
	if len(gen.running) == 0 {
		return 0
	}
	pre := gen.prefill()
	dec := gen.decode()
	dur := time.Duration(float64(pre) / gen.set.PrefillRate * float64(time.Second))
	if dec || dur < gen.set.Step/4 {
		dur += gen.set.Step / 4
	}
	return max(dur, gen.set.Step/4)
}

// drop removes the sequences that were given up.
func (gen *Generator) drop() {
	gen.waiting = keepLive(gen.waiting)
	gen.running = keepLive(gen.running)
}

func keepLive(seqs []*sequence) []*sequence {
	out := seqs[:0]
	for _, seq := range seqs {
		select {
		case <-seq.gone:
		default:
			out = append(out, seq)
		}
	}
	return out
}

func (gen *Generator) used() int64 {
	var use int64
	for _, seq := range gen.running {
		use += seq.memory
	}
	for _, hol := range gen.holds {
		use += hol.tokens
	}
	return use
}

// admit starts waiting sequences by priority while memory lasts.
func (gen *Generator) admit() {
	for len(gen.waiting) > 0 && len(gen.running) < gen.set.MaxBatch {
		bes := 0
		for ind, seq := range gen.waiting {
			if seq.req.Priority > gen.waiting[bes].req.Priority {
				bes = ind
			}
		}
		seq := gen.waiting[bes]
		mem := gen.memoryOf(seq)
		if gen.used()+mem > gen.set.MemoryTokens {
			return
		}
		gen.waiting = append(gen.waiting[:bes], gen.waiting[bes+1:]...)
		seq.memory = mem
		seq.cached = gen.cache.match(hasher.Blocks(seq.req.Prompt)) * hasher.BlockTokens
		seq.prefilled = seq.cached
		gen.running = append(gen.running, seq)
	}
}

// memoryOf is what a sequence takes beyond its reservation.
func (gen *Generator) memoryOf(seq *sequence) int64 {
	mem := seq.req.PromptTokens + seq.req.MaxTokens
	if seq.req.ReservationID == "" {
		return mem
	}
	return 0
}

// prefill spends one chunk on the prompts, by priority.
func (gen *Generator) prefill() int64 {
	lef := gen.set.ChunkTokens
	for lef > 0 {
		seq := gen.nextPrefill()
		if seq == nil {
			break
		}
		shr := int64(max(1, len(seq.req.Group)))
		tok := min(lef*shr, seq.req.PromptTokens-seq.prefilled)
		seq.prefilled += tok
		lef -= max(1, tok/shr)
		if seq.prefilled >= seq.req.PromptTokens {
			gen.cache.store(hasher.Blocks(seq.req.Prompt))
		}
	}
	return gen.set.ChunkTokens - lef
}

func (gen *Generator) nextPrefill() *sequence {
	var bes *sequence
	for _, seq := range gen.running {
		if seq.prefilled >= seq.req.PromptTokens {
			continue
		}
		if bes == nil || seq.req.Priority > bes.req.Priority {
			bes = seq
		}
	}
	return bes
}

// decode sends one token of each prefilled sequence.
func (gen *Generator) decode() bool {
	did := false
	out := gen.running[:0]
	for _, seq := range gen.running {
		if seq.prefilled < seq.req.PromptTokens {
			out = append(out, seq)
			continue
		}
		did = true
		if gen.emit(seq) {
			out = append(out, seq)
		}
	}
	gen.running = out
	return did
}

// emit sends the next token and reports whether the sequence goes on. A caller
// that does not read holds only its own sequence back.
func (gen *Generator) emit(seq *sequence) bool {
	if gen.faults.BreakAfter > 0 && seq.next-seq.req.StartIndex >= gen.faults.BreakAfter {
		seq.stop()
		return false
	}
	var eve invoker.Event
	id := seq.req.RequestID
	if gen.faults.Cross {
		id = "crossed"
	}
	fin := seq.next >= seq.req.MaxTokens
	if fin {
		eve = invoker.Finish{RequestID: id, Attempt: seq.req.Attempt, Reason: "length", PromptTokens: seq.req.PromptTokens, CachedTokens: seq.cached, CompletionTokens: seq.next}
	} else {
		eve = invoker.Token{RequestID: id, Attempt: seq.req.Attempt, Index: seq.next, Text: TokenText(seq.req.Prompt, seq.req.Seed, seq.next)}
	}
	select {
	case seq.events <- eve:
	default:
		return true
	}
	if fin {
		return false
	}
	seq.next++
	return true
}

// report keeps load reports until the lag has passed.
func (gen *Generator) report(now time.Time) {
	if cou := len(gen.lagged); cou > 0 && now.Sub(gen.lagged[cou-1].at) < gen.set.LoadLag/4 {
		return
	}
	gen.lagged = append(gen.lagged, lagged{now, gen.load(now)})
	lim := now.Add(-gen.set.LoadLag)
	for len(gen.lagged) > 1 && gen.lagged[1].at.Before(lim) {
		gen.lagged = gen.lagged[1:]
	}
}

func (gen *Generator) load(now time.Time) invoker.Load {
	loa := invoker.Load{
		Engine: gen.set.ID, Role: gen.config.roleOr("Serve"), Leaving: gen.leaving || gen.faults.Leaving, Models: gen.set.Models,
		Running: len(gen.running), Queued: len(gen.waiting), MemoryTokens: gen.set.MemoryTokens, UsedTokens: gen.used(),
		CachedTokens: gen.cache.tokens(), PrefillRate: gen.set.PrefillRate, StepMs: gen.set.Step.Seconds() * 1000,
	}
	for _, seq := range gen.waiting {
		loa.QueuedPromptTokens += seq.req.PromptTokens
		loa.Sequences = append(loa.Sequences, seq.entry("Queued", now))
	}
	for _, seq := range gen.running {
		loa.QueuedPromptTokens += seq.req.PromptTokens - seq.prefilled
		loa.Sequences = append(loa.Sequences, seq.entry("Running", now))
	}
	for _, hol := range gen.holds {
		loa.Sequences = append(loa.Sequences, invoker.Sequence{RequestID: hol.requestID, Owner: hol.owner, Tokens: hol.tokens, Kind: hol.kind, ID: hol.id, AgeMs: now.Sub(hol.at).Milliseconds()})
	}
	return loa
}

func (seq *sequence) entry(kind string, now time.Time) invoker.Sequence {
	return invoker.Sequence{RequestID: seq.req.RequestID, Attempt: seq.req.Attempt, Owner: seq.req.Owner, Tokens: seq.memory, Kind: kind, AgeMs: now.Sub(seq.queuedAt).Milliseconds()}
}
