// Package driver runs an open-loop load: requests start at their drawn times
// whether or not earlier ones have ended, and faults are switched at given times.
package driver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/load/mixer"
	"hemlockpin/load/sender"
	"hemlockpin/load/summarizer"

	"github.com/rotisserie/eris"
)

const (
	progressInterval = 2 * time.Second
	faultTimeout     = 5 * time.Second
	// callerTimeout is the least time that a caller waits for an end; it is
	// above the time limits of the tables used with the mixes for calls.
	callerTimeout = 60 * time.Second
	// maxInFlight bounds the requests in progress; more are counted as not sent.
	maxInFlight = 20_000
)

// Fault is a change of a stand-in's faults at a time of the run.
type Fault struct {
	At   time.Duration
	URL  string
	Body string
}

// Run is one load run.
type Run struct {
	Mix  mixer.Mix
	Rate float64
	Seed uint64
	// Streams, if any, are sent in place of Rate and Seed.
	Streams  []mixer.Stream
	Duration time.Duration
	// WarmUp is the part at the start that is sent but not counted.
	WarmUp time.Duration
	Faults []Fault
	Sender *sender.Sender
	// Operators are the operator addresses of hosts whose usage is reported.
	Operators []string
	// Progress receives a line every few seconds; nil for none.
	Progress io.Writer
	// IdleFirstToken returns the time to the first token of a prompt on idle
	// engines; if it is nil, the report has no slowdowns and no score.
	IdleFirstToken func(mixer.Request) time.Duration
	// Observe is called with each result, from several goroutines; nil for none.
	Observe func(sender.Result)

	flying  atomic.Int64
	dropped atomic.Int64
}

// Do runs the load and returns its report. Requests still in progress at the
// end are waited for within their patience.
func (run *Run) Do(ctx context.Context) (summarizer.Report, error) {
	if err := run.validate(); err != nil {
		return summarizer.Report{}, err
	}
	sum := summarizer.New(run.Mix, run.WarmUp, run.Duration)
	sum.IdleFirstToken = run.IdleFirstToken
	bef := readUsage(ctx, run.Operators)
	beg := time.Now()
	sto := run.background(ctx, sum, beg)
	run.send(ctx, sum, beg)
	sto()
	rep := sum.Report()
	rep.Seed = run.Seed
	rep.Rate = run.rate()
	rep.Started = beg
	rep.LoadAverage = loadAverage()
	rep.NotSent = run.dropped.Load()
	rep.Hosts = usageBetween(bef, readUsage(ctx, run.Operators), time.Since(beg))
	return rep, ctx.Err()
}

func (run *Run) validate() error {
	switch {
	case run.rate() <= 0:
		return eris.New("Run.Do: Rate must be positive")
	case run.Duration <= run.WarmUp:
		return eris.New("Run.Do: Duration must be longer than WarmUp")
	case len(run.Sender.Hosts) == 0:
		return eris.New("Run.Do: no hosts")
	}
	return nil
}

func (run *Run) rate() float64 {
	if len(run.Streams) == 0 {
		return run.Rate
	}
	var sum float64
	for _, str := range run.Streams {
		sum += str.Rate
	}
	return sum
}

func (run *Run) requests() *mixer.Merger {
	if len(run.Streams) > 0 {
		return mixer.MergeStreams(run.Mix, run.Streams)
	}
	return mixer.Merge(mixer.New(run.Mix, run.Rate, run.Seed))
}

// background starts faults and progress and returns the function that ends them.
func (run *Run) background(ctx context.Context, sum *summarizer.Summarizer, beg time.Time) func() {
	ctx, stop := context.WithCancel(ctx)
	var gro sync.WaitGroup
	for _, fau := range run.Faults {
		gro.Go(func() { run.inject(ctx, fau, beg) })
	}
	gro.Go(func() { run.progress(ctx, sum, beg) })
	return func() { stop(); gro.Wait() }
}

func (run *Run) inject(ctx context.Context, fau Fault, beg time.Time) {
	if !sleepUntil(ctx, beg.Add(fau.At)) {
		return
	}
	ctx, stop := context.WithTimeout(ctx, faultTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, fau.URL, bytes.NewBufferString(fau.Body))
	if err != nil {
		run.say("fault at %s not sent: %v\n", fau.At, err)
		return
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		run.say("fault at %s failed: %v\n", fau.At, err)
		return
	}
	res.Body.Close()
	run.say("fault at %s: %s %s: status %d\n", fau.At, fau.URL, fau.Body, res.StatusCode)
}

func (run *Run) say(format string, args ...any) {
	if run.Progress != nil {
		fmt.Fprintf(run.Progress, format, args...)
	}
}

func (run *Run) progress(ctx context.Context, sum *summarizer.Summarizer, beg time.Time) {
	for nex := beg.Add(progressInterval); sleepUntil(ctx, nex); nex = nex.Add(progressInterval) {
		run.say("%6.0fs  in progress %5d  %s\n", time.Since(beg).Seconds(), run.flying.Load(), sum.Line())
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	tim := time.NewTimer(time.Until(at))
	defer tim.Stop()
	select {
	case <-tim.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (run *Run) send(ctx context.Context, sum *summarizer.Summarizer, beg time.Time) {
	reqs := run.requests()
	var gro sync.WaitGroup
	defer gro.Wait()
	for {
		req := reqs.Next()
		if req.At > run.Duration || !sleepUntil(ctx, beg.Add(req.At)) {
			return
		}
		if run.flying.Load() >= maxInFlight {
			run.dropped.Add(1)
			continue
		}
		run.flying.Add(1)
		gro.Go(func() {
			defer run.flying.Add(-1)
			ctx, stop := context.WithTimeout(ctx, max(2*req.LatencyTarget, callerTimeout))
			defer stop()
			text := ""
			if req.Kind == mixer.KindPrompt {
				text = req.Text()
			}
			res := run.Sender.Send(ctx, req, text)
			sum.Add(res)
			if run.Observe != nil {
				run.Observe(res)
			}
		})
	}
}
