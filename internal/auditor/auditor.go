// Package auditor checks from outside what a fleet promised during a run with
// faults: by the callers' own results, the services' counts of executions, the
// engines' memory accounts and the revisions of the tables on each host.
package auditor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hemlockpin/connection/invoker"
	"hemlockpin/internal/disturber"
	"hemlockpin/internal/testkit"
	"hemlockpin/load/mixer"
	"hemlockpin/load/sender"
)

const (
	// timeMargin is allowed beyond a request's time limit for the network and
	// the measuring program itself.
	timeMargin = time.Second
	// reclaimLimit bounds the time in which engines must have freed all memory
	// that no live request owns.
	reclaimLimit = 90 * time.Second
	// spreadLimit is the time in which an accepted edit is in force everywhere.
	spreadLimit = 7 * time.Second
	maxExamples = 5
)

// Finding is one kind of broken promise.
type Finding struct {
	Kind     string
	Count    int
	Examples []string
}

// Kinds of findings.
const (
	CallsRunTwice    = "calls doubled"
	FalseNotRun      = "false not run"
	AnsweredNotRun   = "answered but not run"
	AnswersWrong     = "answers wrong"
	AnswersBroken    = "answers broken without a visible fault of their host"
	RequestsPastTime = "requests past their time"
	MemoryLost       = "engine memory lost"
	TableReverts     = "table reverts"
	TablesNotInForce = "accepted tables not in force"
	HostsNotReady    = "hosts not ready after the faults"
)

// Kinds lists all kinds of findings in the order of reports.
var Kinds = []string{CallsRunTwice, FalseNotRun, AnsweredNotRun, AnswersWrong, AnswersBroken, RequestsPastTime, MemoryLost, TableReverts, TablesNotInForce, HostsNotReady}

// Auditor collects what is seen during a run and judges it at the end.
type Auditor struct {
	Fleet *testkit.Fleet
	// TimeLimit is the limit that every request was sent with.
	TimeLimit time.Duration

	mu        sync.Mutex
	results   []sender.Result
	revisions map[string]uint64
	accepted  uint64
	found     map[string]*Finding
}

// Observe takes the result of one request.
func (aud *Auditor) Observe(res sender.Result) {
	res.Gaps = nil
	aud.mu.Lock()
	defer aud.mu.Unlock()
	aud.results = append(aud.results, res)
}

// RecordAccepted notes that an operator was told that a revision was accepted.
func (aud *Auditor) RecordAccepted(rev uint64) {
	aud.mu.Lock()
	defer aud.mu.Unlock()
	aud.accepted = max(aud.accepted, rev)
}

// Requests returns the number of results seen.
func (aud *Auditor) Requests() int {
	aud.mu.Lock()
	defer aud.mu.Unlock()
	return len(aud.results)
}

// AcceptedRevision returns the highest revision that an operator was told of.
func (aud *Auditor) AcceptedRevision() uint64 {
	aud.mu.Lock()
	defer aud.mu.Unlock()
	return aud.accepted
}

func (aud *Auditor) find(kind, format string, args ...any) {
	aud.mu.Lock()
	defer aud.mu.Unlock()
	if aud.found == nil {
		aud.found = map[string]*Finding{}
	}
	fin := aud.found[kind]
	if fin == nil {
		fin = &Finding{Kind: kind}
		aud.found[kind] = fin
	}
	fin.Count++
	if len(fin.Examples) < maxExamples {
		fin.Examples = append(fin.Examples, fmt.Sprintf(format, args...))
	}
}

// WatchTables polls the revision of each host until ctx ends.
func (aud *Auditor) WatchTables(ctx context.Context, every time.Duration) {
	tic := time.NewTicker(every)
	defer tic.Stop()
	for {
		for _, hos := range aud.Fleet.Hosts {
			aud.watchOne(ctx, hos, every)
		}
		select {
		case <-tic.C:
		case <-ctx.Done():
			return
		}
	}
}

func (aud *Auditor) watchOne(ctx context.Context, hos *testkit.Process, timeout time.Duration) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	sta, err := aud.Fleet.Status(ctx, hos)
	if err != nil || sta.TablesRevision == 0 {
		return
	}
	aud.mu.Lock()
	if aud.revisions == nil {
		aud.revisions = map[string]uint64{}
	}
	old := aud.revisions[hos.ID]
	aud.revisions[hos.ID] = max(old, sta.TablesRevision)
	aud.mu.Unlock()
	if sta.TablesRevision < old {
		aud.find(TableReverts, "host %s went from revision %d to %d", hos.ID, old, sta.TablesRevision)
	}
}

// Check checks everything after the faults are over and returns the findings
// in the order of Kinds, those of count 0 too.
func (aud *Auditor) Check(ctx context.Context, spans []disturber.InjectedFault) []Finding {
	aud.judgeHosts(ctx)
	aud.judgeTables(ctx)
	aud.judgeMemory(ctx)
	aud.judgeCalls(ctx)
	aud.judgeAnswers(spans)
	aud.mu.Lock()
	defer aud.mu.Unlock()
	out := make([]Finding, 0, len(Kinds))
	for _, kin := range Kinds {
		fin := Finding{Kind: kin}
		if got := aud.found[kin]; got != nil {
			fin = *got
		}
		out = append(out, fin)
	}
	return out
}

func (aud *Auditor) judgeHosts(ctx context.Context) {
	for _, hos := range aud.Fleet.Hosts {
		err := testkit.Poll(ctx, spreadLimit, func() bool {
			return testkit.GetOK(ctx, "http://"+hos.Address+"/readyz") == nil
		})
		if err != nil {
			aud.find(HostsNotReady, "host %s", hos.ID)
		}
	}
}

func (aud *Auditor) judgeTables(ctx context.Context) {
	want := aud.AcceptedRevision()
	for _, hos := range aud.Fleet.Hosts {
		err := testkit.Poll(ctx, spreadLimit, func() bool {
			sta, err := aud.Fleet.Status(ctx, hos)
			return err == nil && sta.TablesRevision >= want
		})
		if err != nil {
			aud.find(TablesNotInForce, "host %s has not reached revision %d", hos.ID, want)
		}
	}
}

// judgeMemory waits until all engines have freed what nobody owns.
func (aud *Auditor) judgeMemory(ctx context.Context) {
	end := time.Now().Add(reclaimLimit)
	for _, eng := range aud.Fleet.Engines {
		var loa invoker.Load
		err := testkit.Poll(ctx, time.Until(end), func() bool {
			loa = invoker.Load{}
			err := testkit.GetJSON(ctx, "http://"+eng.Address+"/control/memory", &loa)
			return err == nil && len(loa.Sequences) == 0
		})
		if err != nil {
			aud.find(MemoryLost, "engine %s holds %+v", eng.ID, loa.Sequences)
		}
	}
}

func (aud *Auditor) judgeCalls(ctx context.Context) {
	runs := map[string]int{}
	for _, svc := range aud.Fleet.Services {
		var one map[string]int
		if err := testkit.GetJSON(ctx, "http://"+svc.Address+"/control/runs", &one); err != nil {
			aud.find(AnsweredNotRun, "service %s does not answer: %v", svc.ID, err)
		}
		for key, cou := range one {
			runs[key] += cou
		}
	}
	for _, res := range aud.results {
		if res.CallKey != "" {
			aud.judgeCall(res, runs[res.CallKey])
		}
	}
}

func (aud *Auditor) judgeCall(res sender.Result, runs int) {
	if runs > 1 {
		aud.find(CallsRunTwice, "key %s ran %d times, callers were told %q", res.CallKey, runs, res.Says)
	}
	if runs > 0 && allNotRun(res.Says) {
		aud.find(FalseNotRun, "key %s ran %d times", res.CallKey, runs)
	}
	if runs == 0 && res.Status == 200 {
		aud.find(AnsweredNotRun, "key %s was answered", res.CallKey)
	}
}

func allNotRun(says []string) bool {
	for _, say := range says {
		if say != string(invoker.NotRun) {
			return false
		}
	}
	return len(says) > 0
}

func (aud *Auditor) judgeAnswers(spans []disturber.InjectedFault) {
	for _, res := range aud.results {
		exc := excused(res, spans)
		if res.Outcome == sender.Wrong {
			aud.find(AnswersWrong, "request %d of class %s at host %s: %s", res.Request.Number, res.Request.Class, res.Host, res.Code)
		}
		if res.Outcome == sender.Broken && !exc {
			aud.find(AnswersBroken, "request %d of class %s at host %s after %s: %s", res.Request.Number, res.Request.Class, res.Host, res.Total, res.Code)
		}
		if res.Total > aud.TimeLimit+timeMargin && !exc && res.Request.Kind != mixer.KindOnce {
			aud.find(RequestsPastTime, "request %d of class %s at host %s took %s: %s %s", res.Request.Number, res.Request.Class, res.Host, res.Total, res.Outcome, res.Code)
		}
	}
}

// excused reports whether the caller could see its host fail during the request.
func excused(res sender.Result, spans []disturber.InjectedFault) bool {
	end := res.Began.Add(res.Total)
	for _, spa := range spans {
		if spa.Host != "" && spa.Host == res.Host && spa.From.Before(end) && spa.To.After(res.Began) {
			return true
		}
	}
	return false
}

// Failed reports whether any finding has a count.
func Failed(fins []Finding) bool {
	for _, fin := range fins {
		if fin.Count > 0 {
			return true
		}
	}
	return false
}
