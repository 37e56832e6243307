// Package summarizer summarizes the results of a load run in a report.
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
	// Curve holds the time at each percentile of CurveQuantiles.
	Curve []float64
}

// CurveQuantiles are the percentiles of Times.Curve.
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
	// InTime is the share of requests with a complete answer within their latency
	// target.
	InTime float64
	// Waited is the time to the first token of all prompts. A prompt without a
	// complete answer counts with its latency target if that is longer, so that
	// refusing prompts does not improve the figures.
	Waited Times `json:",omitzero"`
	// Idle is the time to the first token of the same requests on idle engines.
	Idle Times `json:",omitzero"`
	// Slowdown is the distribution of Waited divided by Idle of each prompt.
	Slowdown Ratios `json:",omitzero"`
}

// Ratios summarizes a distribution of ratios.
type Ratios struct {
	Count int64
	P50   float64
	P95   float64
}

// LengthReport holds the times to the first token, in milliseconds, of the prompts
// of one length bucket.
type LengthReport struct {
	// Tokens is the geometric mean of the bounds of the bucket.
	Tokens float64
	Count  int64
	P50    float64
	P95    float64
}

// TeamReport holds the times to the first token of a team's short prompts and the
// tokens admitted of all its prompts.
type TeamReport struct {
	Key   string
	Short Times
	// AdmittedTokens counts the prompt tokens and the requested answer tokens of
	// the prompts that the team's limit admitted, including the warm-up.
	AdmittedTokens int64
	// LargestTokens is the greatest number of such tokens of one prompt.
	LargestTokens int64
}

// Cell identifies a run within a grid of experiments.
type Cell struct {
	Policy string
	// Load is in per cent of the capacity of the engines.
	Load    int
	Variant string
}

// HostUsage is what one host used during a run.
type HostUsage struct {
	Host               string
	CorePercent        float64
	MemoryBytes        int64
	PeerBytesPerSecond float64
	// EndpointBytesPerSecond does not include the bytes of requests.
	EndpointBytesPerSecond float64
	PlatformBytesPerSecond float64
	PlatformCallsPerHour   float64
}

// Second counts the requests whose drawn time is in one second of a run.
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
	// LoadAverage is the load average of the machine over the last minute of the
	// run. It includes the processes of the run itself.
	LoadAverage float64
	Duration    time.Duration
	Classes     []ClassReport
	Codes       map[string]int64
	Hosts       []HostUsage
	Timeline    []Second
	NotSent     int64
	// Goodput is the number of requests a second with a complete answer in time.
	Goodput float64
	// Cell and Setup are empty for a run outside a grid. Setup describes the
	// settings that all runs of the grid share.
	Cell  Cell   `json:",omitzero"`
	Setup string `json:",omitempty"`
	// Score is nil if the times on idle engines are not known.
	Score *Score `json:",omitempty"`
	// Long is the slowdown of the large and huge prompts together.
	Long Ratios `json:",omitzero"`
	// Parts divides the time to the first token of the large and huge prompts; nil
	// if they were not traced.
	Parts   *Parts `json:",omitempty"`
	Lengths []LengthReport
	Teams   []TeamReport
	// Others is the time to the first token of the short prompts of all teams
	// except the first team of the mix.
	Others Times
}

// Class returns the report of a class and whether there is one.
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
		for name, n := range cla.Outcomes {
			out[name] += n
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

// Summarizer collects results. Use New. It is safe for concurrent use.
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

// New returns an empty summary. Requests sent during the warm-up are counted only
// in the timeline and in the admitted tokens of teams.
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
	sum.team(res.Request.Key).recordAdmitted(res)
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
	recordTime(cla.first, res.First)
	recordTime(cla.total, res.Total)
	for _, gap := range res.Gaps {
		recordTime(cla.gap, gap)
	}
}

func answered(res sender.Result) bool {
	return res.Outcome == sender.Whole || res.Outcome == sender.Late
}

// addPrompt records the time to first token of a prompt by class, length and team,
// and its slowdown.
func (sum *Summarizer) addPrompt(cla *class, res sender.Result) {
	waited := res.First
	if !answered(res) {
		waited = max(waited, res.Request.LatencyTarget)
	}
	recordTime(cla.waited, waited)
	recordTime(sum.length(res.Request.PromptTokens), waited)
	if res.Request.Class == mixer.ClassShort {
		recordTime(sum.team(res.Request.Key).short, waited)
	}
	if sum.IdleFirstToken != nil {
		idle := sum.IdleFirstToken(res.Request)
		recordTime(cla.idle, idle)
		recordRatio(cla.slowdown, waited, idle)
	}
}

func recordTime(his *hdrhistogram.Histogram, elapsed time.Duration) {
	_ = his.RecordValue(min(max(1, elapsed.Microseconds()), maxMicros))
}

func (sum *Summarizer) addTimeline(res sender.Result) {
	i := int(res.Request.At / bucketSize)
	if i >= len(sum.timeline) {
		return
	}
	sum.timeline[i].Sent++
	if res.Outcome == sender.Whole {
		sum.timeline[i].InTime++
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

// Line returns a summary of the results so far in one line.
func (sum *Summarizer) Line() string {
	sum.mu.Lock()
	defer sum.mu.Unlock()
	var all, complete int64
	for _, cla := range sum.classes {
		all += cla.count
		complete += cla.outcomes[sender.Whole]
	}
	first := Times{}
	if cla := sum.classes[mixer.ClassShort]; cla != nil {
		first = timesOf(cla.first)
	}
	return fmt.Sprintf("ended %6d  in time %6d  short prompts' first token p95 %.0f ms", all, complete, first.P95)
}

// Report returns the report of all results.
func (sum *Summarizer) Report() Report {
	sum.mu.Lock()
	defer sum.mu.Unlock()
	rep := Report{Mix: sum.mix.Name, Duration: sum.duration - sum.warmUp, Codes: sum.codes, Timeline: sum.timeline}
	var complete int64
	for name, cla := range sum.classes {
		rep.Classes = append(rep.Classes, cla.report(name))
		complete += cla.outcomes[sender.Whole]
	}
	sort.Slice(rep.Classes, func(i, j int) bool { return sum.rank(rep.Classes[i].Name) < sum.rank(rep.Classes[j].Name) })
	rep.Goodput = float64(complete) / rep.Duration.Seconds()
	rep.Lengths = sum.lengthReports()
	rep.Teams, rep.Others = sum.teamReports()
	if sum.IdleFirstToken != nil {
		rep.Long = sum.longSlowdown()
		rep.Score = rep.score()
	}
	return rep
}

// rank sorts the classes as the mix lists them, with calls last.
func (sum *Summarizer) rank(name string) int {
	for i, cla := range sum.mix.Classes {
		if cla.Name == name {
			return i
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
	const microsPerMilli = 1000
	tim := Times{
		Count: his.TotalCount(), Mean: his.Mean() / microsPerMilli, Max: float64(his.Max()) / microsPerMilli,
		P50: float64(his.ValueAtQuantile(50)) / microsPerMilli, P95: float64(his.ValueAtQuantile(95)) / microsPerMilli, P99: float64(his.ValueAtQuantile(99)) / microsPerMilli,
	}
	for _, quantile := range CurveQuantiles {
		tim.Curve = append(tim.Curve, float64(his.ValueAtQuantile(quantile))/microsPerMilli)
	}
	return tim
}
