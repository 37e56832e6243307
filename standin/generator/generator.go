// Package generator stands in for a model engine in tests. The text that it
// generates is a function of prompt, seed and index, so that a caller's copy of
// an answer can be checked from outside.
//
// The engine batches continuously. One step prefills at most ChunkTokens prompt
// tokens, in the order of priority and then of arrival, and decodes one token of
// every prefilled sequence. A step takes
//
//	Step (if it decodes) + prefilled tokens / PrefillRate
//
// so that a long prefill slows the tokens of all others by its chunks, and a
// more urgent prompt gets the next chunk. A group of engines prefills as many
// times faster as it has members.
//
// Memory is counted in tokens. A sequence takes that of its prompt when it
// starts and grows by one a token; the prefix cache takes what is left, and its
// blocks are evicted, least recently used first, when sequences or holds need
// the room. A sequence that can't grow takes the memory of the least urgent
// one, which is prefilled again later.
//
// A sequence whose connection has gone is kept for DetachGrace, so that its
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
	EventLag     time.Duration `long:"event-lag" default:"100ms" description:"lag of the cache events"`
	EventGap     uint64        `long:"event-gap" default:"0" description:"lose every such cache event; 0 loses none"`
	IdleEvery    time.Duration `long:"idle-every" default:"500ms" description:"interval of signs of life on a waiting stream"`
	DetachGrace  time.Duration `long:"detach-grace" default:"2s" description:"time for which a sequence without a connection is kept"`
	TransferRate float64       `long:"transfer-rate" default:"2000000" description:"tokens of KV cache imported a second"`
}

// TokenText is the text of the token at an index of an answer.
func TokenText(prompt string, seed, index int64) string {
	dig := xxhash.New()
	_, _ = dig.WriteString(prompt)
	return tokenText(*dig, seed, index)
}

// tokenText continues a digest of the prompt.
func tokenText(dig xxhash.Digest, seed, index int64) string {
	var buf [16]byte
	for ind := range 8 {
		buf[ind] = byte(seed >> (8 * ind))
		buf[8+ind] = byte(index >> (8 * ind))
	}
	_, _ = dig.Write(buf[:])
	return fmt.Sprintf(" t%04x", dig.Sum64()&0xffff)
}

// Generator is the state of the engine.
type Generator struct {
	set         Settings
	incarnation uint64
	started     time.Time
	peers       http.Client

	mu sync.Mutex
	// sequences holds all sequences by request ID; waiting and running hold
	// those that still have tokens to generate.
	sequences map[string]*sequence
	waiting   []*sequence
	running   []*sequence
	holds     map[string]hold
	waiters   []*waiter
	cache     cache
	arrivals  uint64
	leaving   bool
	lagged    []lagged
	faults    Faults
	wake      chan struct{}
	config    config
}

// New starts an idle engine.
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
		dur := gen.step(now)
		if dur == 0 {
			select {
			case <-gen.wake:
			case <-time.After(gen.set.Step):
			case <-stop:
				return
			}
			next = time.Now()
			continue
		}
		// The steps keep to their times though sleeps overshoot.
		next = next.Add(dur)
		if lag := now.Sub(next); lag > gen.set.Step {
			next = now
		}
		time.Sleep(time.Until(next))
	}
}

func (gen *Generator) kick() {
	select {
	case gen.wake <- struct{}{}:
	default:
	}
}

// step admits, prefills and decodes once and returns the time that it takes.
func (gen *Generator) step(now time.Time) time.Duration {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.report(now)
	if gen.faults.Freeze || gen.faults.Stall {
		return gen.set.Step
	}
	gen.dropDetached(now)
	gen.grantWaiters(now)
	gen.admit(now)
	if len(gen.running) == 0 {
		return 0
	}
	// A prompt that this step finishes has its first token with the next one,
	// when the time of the prefill has passed.
	dec := gen.decode(now)
	pre := gen.prefill(now)
	dur := time.Duration(float64(pre) / gen.set.PrefillRate * float64(time.Second))
	if dec || pre == 0 {
		dur += gen.set.Step
	}
	return dur
}
