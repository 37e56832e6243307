package generator

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hemlockpin/connection/invoker"
)

// gzipFromSequences is the number of sequences from which a report is compressed.
const gzipFromSequences = 8

// delayedLoad is a load report that is served after LoadLag.
type delayedLoad struct {
	at   time.Time
	load invoker.Load
}

// recordLoad records the current load, at most four times within LoadLag. It keeps
// the newest report that is older than LoadLag and all newer reports.
func (gen *Generator) recordLoad(now time.Time) {
	if n := len(gen.loads); n > 0 && now.Sub(gen.loads[n-1].at) < gen.set.LoadLag/4 {
		return
	}
	gen.loads = append(gen.loads, delayedLoad{now, gen.load(now)})
	limit := now.Add(-gen.set.LoadLag)
	for len(gen.loads) > 1 && gen.loads[1].at.Before(limit) {
		gen.loads = gen.loads[1:]
	}
}

func (gen *Generator) load(now time.Time) invoker.Load {
	loa := invoker.Load{
		Engine: gen.set.ID, Incarnation: gen.incarnation, Role: gen.config.roleOr("Serve"), Leaving: gen.isLeaving(), Models: gen.set.Models,
		Running: len(gen.running), Queued: len(gen.waiting), MemoryTokens: gen.set.MemoryTokens, UsedTokens: gen.usedTokens(),
		CachedTokens: gen.cache.tokens(), PrefillRate: gen.set.PrefillRate, StepMs: gen.set.Step.Seconds() * 1000,
	}
	for _, seq := range gen.waiting {
		loa.QueuedPromptTokens += seq.contextTokens()
		loa.Sequences = append(loa.Sequences, seq.entry("Queued", now))
	}
	for _, seq := range gen.running {
		loa.QueuedPromptTokens += max(0, seq.contextTokens()-seq.prefilled)
		loa.Sequences = append(loa.Sequences, seq.entry("Running", now))
	}
	for _, hol := range gen.holds {
		loa.Sequences = append(loa.Sequences, hol.entry(now))
	}
	return loa
}

func (gen *Generator) isLeaving() bool { return gen.leaving || gen.faults.Leaving }

func (seq *sequence) entry(kind string, now time.Time) invoker.MemoryHolder {
	entry := invoker.MemoryHolder{
		RequestID: seq.req.RequestID, Attempt: seq.req.Attempt, Owner: seq.req.Owner, Kind: kind, Tokens: seq.memory,
		AgeMs: now.Sub(seq.queuedAt).Milliseconds(), IdleMs: now.Sub(seq.progressAt).Milliseconds(),
		ExpiresMs: seq.expiresAt.Sub(now).Milliseconds(), Detached: seq.attachedAttempt == 0,
	}
	return entry
}

func (hol hold) entry(now time.Time) invoker.MemoryHolder {
	age := now.Sub(hol.at).Milliseconds()
	return invoker.MemoryHolder{
		RequestID: hol.requestID, Owner: hol.owner, Tokens: hol.tokens, Kind: hol.kind, ID: hol.id,
		AgeMs: age, IdleMs: age, ExpiresMs: hol.expiresAt.Sub(now).Milliseconds(),
	}
}

// getLoad serves the newest report that is older than LoadLag. With MinIdleMs it
// lists only the sequences that may have lost their owner, with Holders=None no
// sequences.
func (gen *Generator) getLoad(wri http.ResponseWriter, htr *http.Request) {
	gen.mu.Lock()
	now := time.Now()
	gen.recordLoad(now)
	report := gen.loads[0]
	frozen := gen.faults.Freeze
	gen.mu.Unlock()
	if frozen {
		<-htr.Context().Done()
		return
	}
	loa := report.load
	loa.AgeMs = now.Sub(report.at).Milliseconds()
	if minIdle, err := strconv.ParseInt(htr.URL.Query().Get("MinIdleMs"), 10, 64); err == nil {
		loa.Sequences = possiblyLost(report.load.Sequences, minIdle)
	}
	if htr.URL.Query().Get("Holders") == "None" {
		loa.Sequences = nil
	}
	writeLoad(wri, htr, loa)
}

// writeLoad writes a report, compressed if it is long and the caller accepts gzip.
func writeLoad(wri http.ResponseWriter, htr *http.Request, loa invoker.Load) {
	if len(loa.Sequences) < gzipFromSequences || !strings.Contains(htr.Header.Get("Accept-Encoding"), "gzip") {
		_ = json.NewEncoder(wri).Encode(loa)
		return
	}
	wri.Header().Set("Content-Encoding", "gzip")
	gzw := gzip.NewWriter(wri)
	_ = json.NewEncoder(gzw).Encode(loa)
	_ = gzw.Close()
}

// possiblyLost returns the sequences that have no connection, made no progress
// for at least minIdle milliseconds, or have expired.
func possiblyLost(seqs []invoker.MemoryHolder, minIdle int64) []invoker.MemoryHolder {
	var out []invoker.MemoryHolder
	for _, seq := range seqs {
		if seq.Detached || seq.IdleMs >= minIdle || seq.ExpiresMs < 0 {
			out = append(out, seq)
		}
	}
	return out
}

// getMemory serves the current load without lag.
func (gen *Generator) getMemory(wri http.ResponseWriter, _ *http.Request) {
	gen.mu.Lock()
	loa := gen.load(time.Now())
	gen.mu.Unlock()
	_ = json.NewEncoder(wri).Encode(loa)
}

func (gen *Generator) getEvents(wri http.ResponseWriter, htr *http.Request) {
	body, ok := decode[struct{ After uint64 }](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	eves := gen.cache.after(body.After, gen.set.EventGap, time.Now().Add(-gen.set.EventLag))
	gen.mu.Unlock()
	_ = json.NewEncoder(wri).Encode(eves)
}
