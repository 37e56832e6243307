// Package summarizer turns the results of a load run into a report.
package summarizer

import (
	"fmt"
	"math"
	"sort"
	"sync"
	"time"

	"hemlockpin/load/mixer"
	"hemlockpin/load/sender"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicros  = int64(10 * time.Minute / time.Microsecond)
	hdrDigits  = 3
	bucketSize = time.Second
)

// Times summarizes a distribution of times, in milliseconds.
type Times struct {
	Count int64
	Mean  float64
	P50   float64
	P95   float64
	P99   float64
	Max   float64
	// Curve holds the time at each of CurveQuantiles.
	Curve []float64
}

// CurveQuantiles are the quantiles at which Times.Curve is given.
var CurveQuantiles = []float64{5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 97, 99, 99.5, 99.9}

// ClassReport is the part of a report for one class of requests.
type ClassReport struct {
	Name     string
	Count    int64
	Outcomes map[sender.Outcome]int64
	// First is the time to the first token of answered requests.
	First Times
	// Gap is the time between tokens.
	Gap Times
	// Total is the time to the last byte of answered requests.
	Total Times
	// InTime is the share of requests answered whole within their patience.
	InTime float64
	// Waited is First, but a request without a whole answer counts with its
	// patience if that is longer, so that refusals don't improve it.
	Waited Times `json:",omitzero"`
	// Idle is the time to the first token of the same requests on idle engines.
	Idle Times `json:",omitzero"`
	// Slowdown is Waited over Idle, request by request.
	Slowdown Ratios `json:",omitzero"`
}

// Ratios summarizes a distribution of ratios.
type Ratios struct {
	Count int64
	P50   float64
	P95   float64
}

// LengthReport holds the times to the first token of prompts of like lengths.
type LengthReport struct {
	// Tokens is the middle of the lengths.
	Tokens float64
	Count  int64
	P50    float64
	P95    float64
}

// TeamReport holds the times to the first token of a team's short prompts and
// what was admitted of the team.
type TeamReport struct {
	Key   string
	Short Times
	// AdmittedTokens counts the tokens, asked for ones included, of the prompts
	// that the limits let in; those of the warm-up are counted.
	AdmittedTokens int64
	// LargestTokens is the greatest number of tokens of one of them.
	LargestTokens int64
}

// Cell says which run of a grid a report is of.
type Cell struct {
	Policy string
	// Load is in per cent of what the engines can do.
	Load    int
	Variant string
}

// HostUsage is what one host used during a run.
type HostUsage struct {
	Host               string
	CorePercent        float64
	MemoryBytes        int64
	PeerBytesPerSecond float64
	// EndpointBytesPerSecond leaves requests out.
	EndpointBytesPerSecond float64
	PlatformBytesPerSecond float64
	PlatformCallsPerHour   float64
}

// Second counts the requests that started within one second of a run.
type Second struct {
	Sent   int64
	InTime int64
}

// Report is the result of one load run.
type Report struct {
	Name    string
	Mix     string
	Seed    uint64
	Rate    float64
	Started time.Time
	// LoadAverage is the machine's over the last minute, at the end. The run's
	// own processes are in it.
	LoadAverage float64
	Duration    time.Duration
	Classes     []ClassReport
	Codes       map[string]int64
	Hosts       []HostUsage
	Timeline    []Second
	NotSent     int64
	// Goodput is the number of requests a second answered whole and in time.
	Goodput float64
	// Cell and Setup are the zero value outside of a grid. Setup describes what
	// all its runs share.
	Cell  Cell   `json:",omitzero"`
	Setup string `json:",omitempty"`
	// Score is nil if the times on idle engines are not known.
	Score *Score `json:",omitempty"`
	// Long is the slowdown of the large and huge prompts together.
	Long Ratios `json:",omitzero"`
	// Parts says where the large and huge prompts spent their time; nil if they
	// were not traced.
	Parts   *Parts `json:",omitempty"`
	Lengths []LengthReport
	Teams   []TeamReport
	// Others is the time to the first token of the short prompts of all teams
	// but the mix's first.
	Others Times
}

// Class finds the report of a class.
func (rep Report) Class(name string) (ClassReport, bool) {
	for _, cla := range rep.Classes {
		if cla.Name == name {
			return cla, true
		}
	}
	return ClassReport{}, false
}

// Outcomes sums the outcomes over all classes.
func (rep Report) Outcomes() map[sender.Outcome]int64 {
	out := map[sender.Outcome]int64{}
	for _, cla := range rep.Classes {
		for nam, cou := range cla.Outcomes {
			out[nam] += cou
		}
	}
	return out
}

type class struct {
	outcomes map[sender.Outcome]int64
	first    *hdrhistogram.Histogram
	gap      *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
	waited   *hdrhistogram.Histogram
	idle     *hdrhistogram.Histogram
	slowdown *hdrhistogram.Histogram
	count    int64
}

// Summarizer collects results. Use New.
type Summarizer struct {
	// IdleFirstToken returns the time to the first token of a prompt on idle
	// engines; if it is nil, the report has no slowdowns and no score.
	IdleFirstToken func(mixer.Request) time.Duration

	mix      mixer.Mix
	warmUp   time.Duration
	duration time.Duration

	mu       sync.Mutex
	classes  map[string]*class
	codes    map[string]int64
	timeline []Second
	lengths  map[int]*hdrhistogram.Histogram
	teams    map[string]*team
}

// New starts an empty summary; results of requests sent during the warm-up
// are left out.
func New(mix mixer.Mix, warmUp, duration time.Duration) *Summarizer {
	return &Summarizer{
		mix: mix, warmUp: warmUp, duration: duration,
		classes: map[string]*class{}, codes: map[string]int64{}, timeline: make([]Second, duration/bucketSize+1),
		lengths: map[int]*hdrhistogram.Histogram{}, teams: map[string]*team{},
	}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, hdrDigits) }

// Add counts one result.
func (sum *Summarizer) Add(res sender.Result) {
	sum.mu.Lock()
	defer sum.mu.Unlock()
	sum.addTimeline(res)
	sum.team(res.Request.Key).admit(res)
	if res.Request.At < sum.warmUp {
		return
	}
	cla := sum.class(res.Request.Class)
	cla.count++
	cla.outcomes[res.Outcome]++
	if res.Code != "" {
		sum.codes[string(res.Outcome)+" "+res.Code]++
	}
	if res.Request.Kind == mixer.KindPrompt {
		sum.addPrompt(cla, res)
	}
	if !answered(res) {
		return
	}
	record(cla.first, res.First)
	record(cla.total, res.Total)
	for _, gap := range res.Gaps {
		record(cla.gap, gap)
	}
}

func answered(res sender.Result) bool {
	return res.Outcome == sender.Whole || res.Outcome == sender.Late
}

// addPrompt counts a prompt by its length, its team and its slowdown.
func (sum *Summarizer) addPrompt(cla *class, res sender.Result) {
	wai := res.First
	if !answered(res) {
		wai = max(wai, res.Request.LatencyTarget)
	}
	record(cla.waited, wai)
	record(sum.length(res.Request.PromptTokens), wai)
	if res.Request.Class == mixer.ClassShort {
		record(sum.team(res.Request.Key).short, wai)
	}
	if sum.IdleFirstToken != nil {
		idl := sum.IdleFirstToken(res.Request)
		record(cla.idle, idl)
		recordRatio(cla.slowdown, wai, idl)
	}
}

func record(his *hdrhistogram.Histogram, dur time.Duration) {
	_ = his.RecordValue(min(max(1, dur.Microseconds()), maxMicros))
}

func (sum *Summarizer) addTimeline(res sender.Result) {
	ind := int(res.Request.At / bucketSize)
	if ind >= len(sum.timeline) {
		return
	}
	sum.timeline[ind].Sent++
	if res.Outcome == sender.Whole {
		sum.timeline[ind].InTime++
	}
}

func (sum *Summarizer) class(name string) *class {
	cla := sum.classes[name]
	if cla == nil {
		cla = &class{
			outcomes: map[sender.Outcome]int64{}, first: newHistogram(), gap: newHistogram(), total: newHistogram(),
			waited: newHistogram(), idle: newHistogram(), slowdown: newHistogram(),
		}
		sum.classes[name] = cla
	}
	return cla
}

// Line summarizes the results so far in one line.
func (sum *Summarizer) Line() string {
	sum.mu.Lock()
	defer sum.mu.Unlock()
	var all, who int64
	for _, cla := range sum.classes {
		all += cla.count
		who += cla.outcomes[sender.Whole]
	}
	first := Times{}
	if cla := sum.classes[mixer.ClassShort]; cla != nil {
		first = timesOf(cla.first)
	}
	return fmt.Sprintf("ended %6d  in time %6d  short prompts' first token p95 %.0f ms", all, who, first.P95)
}

// Report summarizes all results.
func (sum *Summarizer) Report() Report {
	sum.mu.Lock()
	defer sum.mu.Unlock()
	rep := Report{Mix: sum.mix.Name, Duration: sum.duration - sum.warmUp, Codes: sum.codes, Timeline: sum.timeline}
	var who int64
	for nam, cla := range sum.classes {
		rep.Classes = append(rep.Classes, cla.report(nam))
		who += cla.outcomes[sender.Whole]
	}
	sort.Slice(rep.Classes, func(one, two int) bool { return sum.rank(rep.Classes[one].Name) < sum.rank(rep.Classes[two].Name) })
	rep.Goodput = float64(who) / rep.Duration.Seconds()
	rep.Lengths = sum.lengthReports()
	rep.Teams, rep.Others = sum.teamReports()
	if sum.IdleFirstToken != nil {
		rep.Long = sum.long()
		rep.Score = rep.score()
	}
	return rep
}

// rank orders classes by length, calls last.
func (sum *Summarizer) rank(name string) int {
	for ind, cla := range sum.mix.Classes {
		if cla.Name == name {
			return ind
		}
	}
	return math.MaxInt
}

func (cla *class) report(name string) ClassReport {
	return ClassReport{
		Name: name, Count: cla.count, Outcomes: cla.outcomes,
		First: timesOf(cla.first), Gap: timesOf(cla.gap), Total: timesOf(cla.total),
		InTime: float64(cla.outcomes[sender.Whole]) / float64(max(1, cla.count)),
		Waited: timesOf(cla.waited), Idle: timesOf(cla.idle), Slowdown: ratiosOf(cla.slowdown),
	}
}

func timesOf(his *hdrhistogram.Histogram) Times {
	const micros = 1000
	tim := Times{
		Count: his.TotalCount(), Mean: his.Mean() / micros, Max: float64(his.Max()) / micros,
		P50: float64(his.ValueAtQuantile(50)) / micros, P95: float64(his.ValueAtQuantile(95)) / micros, P99: float64(his.ValueAtQuantile(99)) / micros,
	}
	for _, qua := range CurveQuantiles {
		tim.Curve = append(tim.Curve, float64(his.ValueAtQuantile(qua))/micros)
	}
	return tim
}
