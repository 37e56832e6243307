// Package mixer draws the random requests of a load run: arrival times, kinds,
// lengths, teams and texts. A seed determines all of them.
package mixer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockpin/request/hasher"
)

const (
	textBytes = 8 << 20
	// prefixStride is the distance in bytes between the starts of two shared
	// prefixes in the text.
	prefixStride = 64
	alphabet     = "abcdefghijklmnopqrstuvwxyz      "
)

// Class is a range of prompt lengths, in tokens.
type Class struct {
	Name string
	// MinTokens and MaxTokens bound the prompt; lengths are log-uniformly
	// distributed between them.
	MinTokens int64
	MaxTokens int64
	// Weight is the share of the class among prompts.
	Weight float64
	// Patience is the latency target: a complete answer within it counts as in
	// time.
	Patience time.Duration
}

// Team is a team that sends requests under its key. Weight is its share of the
// requests, relative to the weights of the other teams.
type Team struct {
	Key    string
	Weight float64
}

// Mix describes the random requests of one deployment.
type Mix struct {
	Name    string
	Model   string
	Teams   []Team
	Classes []Class
	// MinAnswer and MaxAnswer bound the requested tokens of an answer, which are
	// uniformly distributed between them.
	MinAnswer int64
	MaxAnswer int64
	// SharedPrefixes is the number of prefixes that prompts may share, and
	// SharedShare the share of prompts with such a prefix.
	SharedPrefixes int
	SharedShare    float64
	// CallShare is the share of requests that are calls to a plain service,
	// and OnceShare the share of these calls that may not be repeated.
	CallShare float64
	OnceShare float64
	// OncePath and RepeatablePath are the paths of the calls.
	OncePath       string
	RepeatablePath string
	// CallPatience is the latency target of calls.
	CallPatience time.Duration
}

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	KindPrompt     Kind = "Prompt"
	KindRepeatable Kind = "Repeatable"
	KindOnce       Kind = "Once"
)

// Request is one drawn request.
type Request struct {
	// Number is unique within a run.
	Number int
	// At is the time to send the request, from the start of the run.
	At           time.Duration
	Kind         Kind
	Class        string
	Key          string
	Path         string
	PromptTokens int64
	AnswerTokens int64
	// LatencyTarget is the time within which a complete answer counts as in time.
	LatencyTarget time.Duration

	// prefix is the index of the shared prefix; -1 means none. offset is the start
	// of the rest of the prompt in the text.
	prefix int
	offset int
}

// Mixer draws the requests of a mix. Use New. It is not safe for concurrent use.
type Mixer struct {
	mix   Mix
	rate  float64
	ran   *rand.Rand
	now   time.Duration
	count int
}

// textSource is the text of which all prompts are substrings. It does not depend
// on the seed of a run, so that runs with different seeds use the same text.
var textSource = sync.OnceValue(func() []byte {
	ran := rand.New(rand.NewPCG(1, 2))
	buf := make([]byte, textBytes)
	for i := range buf {
		buf[i] = alphabet[ran.IntN(len(alphabet))]
	}
	return buf
})

// New returns a mixer of requests at a mean rate in requests a second.
func New(mix Mix, rate float64, seed uint64) *Mixer {
	return &Mixer{mix: mix, rate: rate, ran: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Next draws the next request. Arrivals are a Poisson process.
func (mi *Mixer) Next() Request {
	mi.now += time.Duration(mi.ran.ExpFloat64() / mi.rate * float64(time.Second))
	req := Request{Number: mi.count, At: mi.now, Key: mi.team(), offset: mi.ran.IntN(textBytes / 2), prefix: -1}
	mi.count++
	if mi.ran.Float64() < mi.mix.CallShare {
		return mi.call(req)
	}
	return mi.prompt(req)
}

func (mi *Mixer) team() string {
	weights := make([]float64, len(mi.mix.Teams))
	for i, tea := range mi.mix.Teams {
		weights[i] = tea.Weight
	}
	return mi.mix.Teams[mi.pick(weights)].Key
}

// pick draws an index with a probability proportional to its weight.
func (mi *Mixer) pick(weights []float64) int {
	var sum float64
	for _, weight := range weights {
		sum += weight
	}
	left := mi.ran.Float64() * sum
	for i, weight := range weights {
		if left -= weight; left < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (mi *Mixer) call(req Request) Request {
	req.Class = "calls"
	req.LatencyTarget = mi.mix.CallPatience
	req.Kind = KindRepeatable
	req.Path = mi.mix.RepeatablePath
	if mi.ran.Float64() < mi.mix.OnceShare {
		req.Kind = KindOnce
		req.Path = mi.mix.OncePath
	}
	return req
}

func (mi *Mixer) prompt(req Request) Request {
	weights := make([]float64, len(mi.mix.Classes))
	for i, cla := range mi.mix.Classes {
		weights[i] = cla.Weight
	}
	cla := mi.mix.Classes[mi.pick(weights)]
	req.Kind = KindPrompt
	req.Class = cla.Name
	req.LatencyTarget = cla.Patience
	req.Path = "/v1/completions"
	req.PromptTokens = mi.length(cla)
	req.AnswerTokens = mi.mix.MinAnswer + mi.ran.Int64N(mi.mix.MaxAnswer-mi.mix.MinAnswer+1)
	if mi.mix.SharedPrefixes > 0 && mi.ran.Float64() < mi.mix.SharedShare {
		req.prefix = mi.ran.IntN(mi.mix.SharedPrefixes)
	}
	return req
}

func (mi *Mixer) length(cla Class) int64 {
	low, high := math.Log(float64(cla.MinTokens)), math.Log(float64(cla.MaxTokens))
	return int64(math.Exp(low + mi.ran.Float64()*(high-low)))
}

// Text returns the prompt of a request. The first half of a prompt with a shared
// prefix is that prefix. The rest of each prompt begins with the request's number
// and is therefore unique.
func (req Request) Text() string {
	size := int(req.PromptTokens) * hasher.BytesPerToken
	buf := make([]byte, 0, size)
	source := textSource()
	if req.prefix >= 0 {
		start := req.prefix * prefixStride
		buf = append(buf, source[start:start+size/2]...)
	}
	buf = appendNumber(buf, req.Number)
	for len(buf) < size {
		end := min(textBytes, req.offset+size-len(buf))
		buf = append(buf, source[req.offset:end]...)
	}
	return string(buf[:size])
}

func appendNumber(buf []byte, n int) []byte {
	for range 16 {
		buf = append(buf, alphabet[n%26])
		n /= 26
	}
	return append(buf, ' ')
}

// WithoutLong returns the mix without the classes of prompts longer than limit
// tokens, and the share of the requests that are left. If the rate is multiplied
// by that share, the rates of the other classes and of calls stay the same.
func (mix Mix) WithoutLong(limit int64) (Mix, float64) {
	var kept []Class
	var weight, all float64
	for _, cla := range mix.Classes {
		all += cla.Weight
		if cla.MaxTokens <= limit {
			kept = append(kept, cla)
			weight += cla.Weight
		}
	}
	mix.Classes = kept
	return mix, mix.CallShare + (1-mix.CallShare)*weight/all
}

// WithScale returns the mix with all prompt lengths divided by scale.
func (mix Mix) WithScale(scale float64) Mix {
	kept := make([]Class, len(mix.Classes))
	for i, cla := range mix.Classes {
		cla.MinTokens = max(1, int64(float64(cla.MinTokens)/scale))
		cla.MaxTokens = max(cla.MinTokens, int64(float64(cla.MaxTokens)/scale))
		kept[i] = cla
	}
	mix.Classes = kept
	return mix
}

// WithTeams returns the mix with its teams replaced.
func (mix Mix) WithTeams(teas []Team) Mix {
	mix.Teams = teas
	return mix
}

// MeanTokens returns the mean prompt length of the mix, in tokens.
func (mix Mix) MeanTokens() float64 {
	var sum, weight float64
	for _, cla := range mix.Classes {
		low, high := float64(cla.MinTokens), float64(cla.MaxTokens)
		mean := low
		if high > low {
			mean = (high - low) / math.Log(high/low)
		}
		sum += cla.Weight * mean
		weight += cla.Weight
	}
	return sum / weight
}
