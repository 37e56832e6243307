// Package driver runs an open-loop load: requests are sent at their drawn times
// whether or not earlier requests have ended, and faults are injected at given
// times.
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
	// callerTimeout is the least time after which a caller gives up. It is above
	// the time limits for calls in the tables that are used with the mixes.
	callerTimeout = 60 * time.Second
	// maxInFlight bounds the requests in progress; requests beyond it are counted
	// as not sent.
	maxInFlight = 20_000
)

// Fault is a change of the injected faults of a simulated component, sent as a
// PUT request to URL at a time from the start of the run.
type Fault struct {
	At   time.Duration
	URL  string
	Body string
}

// Run is one load run.
type Run struct {
	Mix mixer.Mix
	// Rate is the mean number of requests a second.
	Rate float64
	Seed uint64
	// Streams, if any, replace Rate and Seed.
	Streams  []mixer.Stream
	Duration time.Duration
	// WarmUp is the time at the start in which requests are sent but not counted.
	WarmUp time.Duration
	Faults []Fault
	Sender *sender.Sender
	// Operators are the operator addresses of the hosts whose usage is reported.
	Operators []string
	// Progress receives a line every progressInterval and one for each fault; nil
	// means no output.
	Progress io.Writer
	// IdleFirstToken returns the time to the first token of a prompt on idle
	// engines; if it is nil, the report has no slowdowns and no score.
	IdleFirstToken func(mixer.Request) time.Duration
	// Observe is called with each result, from several goroutines; it may be nil.
	Observe func(sender.Result)

	inFlight atomic.Int64
	notSent  atomic.Int64
}

// Do runs the load and returns its report. Requests in progress at the end are
// waited for until they end or their caller's timeout passes. It returns an error
// if the fields are not valid or ctx ends.
func (run *Run) Do(ctx context.Context) (summarizer.Report, error) {
	if err := run.validate(); err != nil {
		return summarizer.Report{}, err
	}
	sum := summarizer.New(run.Mix, run.WarmUp, run.Duration)
	sum.IdleFirstToken = run.IdleFirstToken
	before := readUsage(ctx, run.Operators)
	start := time.Now()
	stop := run.startBackground(ctx, sum, start)
	run.send(ctx, sum, start)
	stop()
	rep := sum.Report()
	rep.Seed = run.Seed
	rep.Rate = run.rate()
	rep.Started = start
	rep.LoadAverage = loadAverage()
	rep.NotSent = run.notSent.Load()
	rep.Hosts = usageRates(before, readUsage(ctx, run.Operators), time.Since(start))
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

// startBackground starts the injection of faults and the output of progress, and
// returns a function that stops both.
func (run *Run) startBackground(ctx context.Context, sum *summarizer.Summarizer, start time.Time) func() {
	ctx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, fau := range run.Faults {
		wg.Go(func() { run.inject(ctx, fau, start) })
	}
	wg.Go(func() { run.printProgress(ctx, sum, start) })
	return func() { stop(); wg.Wait() }
}

func (run *Run) inject(ctx context.Context, fau Fault, start time.Time) {
	if !sleepUntil(ctx, start.Add(fau.At)) {
		return
	}
	ctx, stop := context.WithTimeout(ctx, faultTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, fau.URL, bytes.NewBufferString(fau.Body))
	if err != nil {
		run.printf("fault at %s not sent: %v\n", fau.At, err)
		return
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		run.printf("fault at %s failed: %v\n", fau.At, err)
		return
	}
	res.Body.Close()
	run.printf("fault at %s: %s %s: status %d\n", fau.At, fau.URL, fau.Body, res.StatusCode)
}

func (run *Run) printf(format string, args ...any) {
	if run.Progress != nil {
		fmt.Fprintf(run.Progress, format, args...)
	}
}

func (run *Run) printProgress(ctx context.Context, sum *summarizer.Summarizer, start time.Time) {
	for next := start.Add(progressInterval); sleepUntil(ctx, next); next = next.Add(progressInterval) {
		run.printf("%6.0fs  in progress %5d  %s\n", time.Since(start).Seconds(), run.inFlight.Load(), sum.Line())
	}
}

// sleepUntil returns false if ctx ends before the given time.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends the requests at their times and waits until all of them have ended.
func (run *Run) send(ctx context.Context, sum *summarizer.Summarizer, start time.Time) {
	reqs := run.requests()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		req := reqs.Next()
		if req.At > run.Duration || !sleepUntil(ctx, start.Add(req.At)) {
			return
		}
		if run.inFlight.Load() >= maxInFlight {
			run.notSent.Add(1)
			continue
		}
		run.inFlight.Add(1)
		wg.Go(func() {
			defer run.inFlight.Add(-1)
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
