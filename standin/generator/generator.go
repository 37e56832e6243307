// Package generator is a simulated model engine for tests and load runs. Each
// token of an answer is a function of prompt, seed and index, so that a test can
// check an answer without access to the engine.
//
// The engine uses continuous batching. One step prefills at most ChunkTokens
// prompt tokens, in the order of priority and then of arrival, and decodes one
// token of each prefilled sequence. A step takes
//
//	Step (if it decodes) + prefilled tokens / PrefillRate
//
// so that each chunk of a long prefill delays the decoding of all other
// sequences, and a prompt of higher priority gets the next chunk. A group of n
// engines prefills n times as fast as one engine.
//
// Memory is counted in tokens. A sequence allocates memory for its prompt when
// it starts and for one more token with each token that it generates. The prefix
// cache uses the remaining memory; its blocks are evicted, least recently used
// first, when sequences or holds need memory. If there is no memory for the next
// token of a sequence, the sequence of the lowest priority is preempted and
// prefilled again later.
//
// A sequence whose connection was lost is kept for DetachGrace, so that its
// owner can resume it at a token.
package generator

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"hemlockpin/connection/invoker"

	"github.com/cespare/xxhash/v2"
)

// Settings configure the sizes, speeds and report lags of the engine.
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
	EventLag     time.Duration `long:"event-lag" default:"100ms" description:"lag of the cache events"`
	EventGap     uint64        `long:"event-gap" default:"0" description:"lose each cache event whose number is a multiple of this; 0 loses none"`
	IdleEvery    time.Duration `long:"idle-every" default:"500ms" description:"interval of Idle events on a stream"`
	DetachGrace  time.Duration `long:"detach-grace" default:"2s" description:"time for which a sequence without a connection is kept"`
	TransferRate float64       `long:"transfer-rate" default:"2000000" description:"tokens of KV cache imported a second"`
}

// TokenText is the text of the token at an index of an answer.
func TokenText(prompt string, seed, index int64) string {
	dig := xxhash.New()
	_, _ = dig.WriteString(prompt)
	return tokenText(*dig, seed, index)
}

// tokenText is TokenText with the digest of the prompt already computed.
func tokenText(dig xxhash.Digest, seed, index int64) string {
	var buf [16]byte
	for i := range 8 {
		buf[i] = byte(seed >> (8 * i))
		buf[8+i] = byte(index >> (8 * i))
	}
	_, _ = dig.Write(buf[:])
	return fmt.Sprintf(" t%04x", dig.Sum64()&0xffff)
}

// Generator is a simulated engine. Use New.
type Generator struct {
	set         Settings
	incarnation uint64
	started     time.Time
	peers       http.Client

	mu sync.Mutex
	// sequences maps request IDs to sequences; waiting and running list the
	// sequences that still have tokens to generate.
	sequences map[string]*sequence
	waiting   []*sequence
	running   []*sequence
	holds     map[string]hold
	waiters   []*waiter
	cache     cache
	arrivals  uint64
	leaving   bool
	loads     []delayedLoad
	faults    Faults
	wake      chan struct{}
	config    config
}

// New returns an idle engine. Its steps are taken by Run.
func New(set Settings) *Generator {
	now := time.Now()
	gen := &Generator{
		set: set, incarnation: uint64(now.UnixNano()), started: now, peers: http.Client{Timeout: groupTimeout},
		sequences: map[string]*sequence{}, holds: map[string]hold{}, wake: make(chan struct{}, 1),
	}
	gen.cache.log(invoker.CacheEvent{Cleared: true}, now)
	return gen
}

// Run takes steps until stop is closed.
func (gen *Generator) Run(stop <-chan struct{}) {
	next := time.Now()
	for {
		now := time.Now()
		stepTime := gen.step(now)
		if stepTime == 0 {
			select {
			case <-gen.wake:
			case <-time.After(gen.set.Step):
			case <-stop:
				return
			}
			next = time.Now()
			continue
		}
		// Each step ends at a time computed from the end of the previous step, so
		// that sleeps that overshoot don't add up.
		next = next.Add(stepTime)
		if lag := now.Sub(next); lag > gen.set.Step {
			next = now
		}
		time.Sleep(time.Until(next))
	}
}

// wakeUp makes Run take the next step at once if the engine is idle.
func (gen *Generator) wakeUp() {
	select {
	case gen.wake <- struct{}{}:
	default:
	}
}

// step admits, prefills and decodes once and returns the simulated time of the
// step; 0 means that no sequence is running.
func (gen *Generator) step(now time.Time) time.Duration {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.recordLoad(now)
	if gen.faults.Freeze || gen.faults.Stall {
		return gen.set.Step
	}
	gen.dropDetached(now)
	gen.grantWaiters(now)
	gen.admit(now)
	if len(gen.running) == 0 {
		return 0
	}
	// Decode comes first: a prompt whose prefill ends in this step gets its first
	// token in the next step, after the time of the prefill.
	decoded := gen.decode(now)
	prefilled := gen.prefill(now)
	stepTime := time.Duration(float64(prefilled) / gen.set.PrefillRate * float64(time.Second))
	if decoded || prefilled == 0 {
		stepTime += gen.set.Step
	}
	return stepTime
}
