// Package mixer draws the requests of a load run: arrival times, lengths,
// teams and texts, all from one seed.
package mixer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockpin/request/hasher"
)

const (
	textBytes   = 8 << 20
	headerBytes = 64
	alphabet    = "abcdefghijklmnopqrstuvwxyz      "
)

// Class is a range of prompt lengths, in tokens.
type Class struct {
	Name string
	// MinTokens and MaxTokens bound the prompt; lengths are log-uniform between.
	MinTokens int64
	MaxTokens int64
	// Weight is the share of the class among prompts.
	Weight float64
	// Patience is the time within which the whole answer counts as in time.
	Patience time.Duration
}

// Team is a sender of requests.
type Team struct {
	Key    string
	Weight float64
}

// Mix describes the requests of one deployment.
type Mix struct {
	Name    string
	Model   string
	Teams   []Team
	Classes []Class
	// MinAnswer and MaxAnswer bound the tokens asked for.
	MinAnswer int64
	MaxAnswer int64
	// SharedPrefixes is the number of prefixes that prompts may share, and
	// SharedShare the share of prompts that do.
	SharedPrefixes int
	SharedShare    float64
	// CallShare is the share of requests that are calls to a plain service,
	// and OnceShare the share of these that may not be repeated.
	CallShare float64
	OnceShare float64
	// OncePath and RepeatablePath are the paths of the calls.
	OncePath       string
	RepeatablePath string
	CallPatience   time.Duration
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
	Number        int
	At            time.Duration
	Kind          Kind
	Class         string
	Key           string
	Path          string
	PromptTokens  int64
	AnswerTokens  int64
	LatencyTarget time.Duration

	shared int
	offset int
}

// Mixer draws the requests of a mix. Use New.
type Mixer struct {
	mix   Mix
	rate  float64
	ran   *rand.Rand
	now   time.Duration
	count int
}

// text is what all prompts are cut from. It has its own source, so that runs
// with other seeds differ in arrivals and lengths only.
var text = sync.OnceValue(func() []byte {
	ran := rand.New(rand.NewPCG(1, 2))
	buf := make([]byte, textBytes)
	for ind := range buf {
		buf[ind] = alphabet[ran.IntN(len(alphabet))]
	}
	return buf
})

// New starts a drawing of requests at a mean rate a second.
func New(mix Mix, rate float64, seed uint64) *Mixer {
	return &Mixer{mix: mix, rate: rate, ran: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Next draws the next request; arrivals are a Poisson process.
func (mi *Mixer) Next() Request {
	mi.now += time.Duration(mi.ran.ExpFloat64() / mi.rate * float64(time.Second))
	req := Request{Number: mi.count, At: mi.now, Key: mi.team(), offset: mi.ran.IntN(textBytes / 2), shared: -1}
	mi.count++
	if mi.ran.Float64() < mi.mix.CallShare {
		return mi.call(req)
	}
	return mi.prompt(req)
}

func (mi *Mixer) team() string {
	wei := make([]float64, len(mi.mix.Teams))
	for ind, tea := range mi.mix.Teams {
		wei[ind] = tea.Weight
	}
	return mi.mix.Teams[mi.pick(wei)].Key
}

// pick draws an index by weight.
func (mi *Mixer) pick(wei []float64) int {
	var sum float64
	for _, one := range wei {
		sum += one
	}
	lef := mi.ran.Float64() * sum
	for ind, one := range wei {
		if lef -= one; lef < 0 {
			return ind
		}
	}
	return len(wei) - 1
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
	wei := make([]float64, len(mi.mix.Classes))
	for ind, cla := range mi.mix.Classes {
		wei[ind] = cla.Weight
	}
	cla := mi.mix.Classes[mi.pick(wei)]
	req.Kind = KindPrompt
	req.Class = cla.Name
	req.LatencyTarget = cla.Patience
	req.Path = "/v1/completions"
	req.PromptTokens = mi.length(cla)
	req.AnswerTokens = mi.mix.MinAnswer + mi.ran.Int64N(mi.mix.MaxAnswer-mi.mix.MinAnswer+1)
	if mi.mix.SharedPrefixes > 0 && mi.ran.Float64() < mi.mix.SharedShare {
		req.shared = mi.ran.IntN(mi.mix.SharedPrefixes)
	}
	return req
}

func (mi *Mixer) length(cla Class) int64 {
	low, hig := math.Log(float64(cla.MinTokens)), math.Log(float64(cla.MaxTokens))
	return int64(math.Exp(low + mi.ran.Float64()*(hig-low)))
}

// Text builds the prompt of a request. Half of a sharing prompt is the shared
// prefix; the rest starts with the request's number and so is its own.
func (req Request) Text() string {
	size := int(req.PromptTokens) * hasher.BytesPerToken
	buf := make([]byte, 0, size)
	txt := text()
	if req.shared >= 0 {
		off := req.shared * headerBytes
		buf = append(buf, txt[off:off+size/2]...)
	}
	buf = appendNumber(buf, req.Number)
	for len(buf) < size {
		end := min(textBytes, req.offset+size-len(buf))
		buf = append(buf, txt[req.offset:end]...)
	}
	return string(buf[:size])
}

func appendNumber(buf []byte, num int) []byte {
	for range 16 {
		buf = append(buf, alphabet[num%26])
		num /= 26
	}
	return append(buf, ' ')
}

// WithoutLong returns the mix without the prompts of over limit tokens. The
// rate must be scaled by the returned share to keep the other classes' rates.
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
	for ind, cla := range mix.Classes {
		cla.MinTokens = max(1, int64(float64(cla.MinTokens)/scale))
		cla.MaxTokens = max(cla.MinTokens, int64(float64(cla.MaxTokens)/scale))
		kept[ind] = cla
	}
	mix.Classes = kept
	return mix
}

// WithTeams returns the mix with other teams.
func (mix Mix) WithTeams(teas []Team) Mix {
	mix.Teams = teas
	return mix
}

// MeanTokens returns the mean prompt length of the mix, in tokens.
func (mix Mix) MeanTokens() float64 {
	var sum, wei float64
	for _, cla := range mix.Classes {
		low, hig := float64(cla.MinTokens), float64(cla.MaxTokens)
		mea := low
		if hig > low {
			mea = (hig - low) / math.Log(hig/low)
		}
		sum += cla.Weight * mea
		wei += cla.Weight
	}
	return sum / wei
}
