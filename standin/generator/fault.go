package generator

import (
	"net/http"

	"hemlockpin/connection/invoker"
)

// Faults are the injected faults that are in effect.
type Faults struct {
	// Freeze stops all steps, events and load reports while connections stay open.
	Freeze bool
	// Stall stops all steps; Idle events and load reports continue.
	Stall bool
	// Leaving makes the engine report that it is leaving and refuse new work.
	Leaving bool
	// Refuse makes the engine refuse new work as overloaded.
	Refuse bool
	// LoseCancel acknowledges cancellations without carrying them out.
	LoseCancel bool
	// KeepDetached keeps sequences without a connection beyond DetachGrace.
	KeepDetached bool

	// Streams is the number of new streams that get the faults below; 0 means
	// all streams.
	Streams int
	// BreakAfter ends a stream after this many tokens.
	BreakAfter int64
	// Cross sends tokens and the end event under another request ID.
	Cross bool
	// Double sends each token twice.
	Double bool
	// Late sends a token of the previous attempt before each token.
	Late bool
	// GapAfter leaves out the token with this index.
	GapAfter int64
	// FinishAfter sends the end event of a complete answer after this many tokens.
	FinishAfter int64
	// LieInUsage reports wrong prompt and cached token counts in the end event.
	LieInUsage bool
	// WrongModel names another model in the header than was requested.
	WrongModel bool
	// Malformed sends an event that is not valid JSON after this many tokens.
	Malformed int64
	// Oversized sends an event of oversizedBytes after this many tokens.
	Oversized int64
}

// streamFaults returns the faults of a new stream and counts the stream towards
// Streams. The caller holds the lock.
func (gen *Generator) streamFaults() Faults {
	fau := gen.faults
	if !fau.hasStreamFaults() || fau.Streams == 0 {
		return fau
	}
	if gen.faults.Streams--; gen.faults.Streams == 0 {
		gen.faults = gen.faults.withoutStreamFaults()
	}
	return fau
}

func (fau Faults) hasStreamFaults() bool { return fau != fau.withoutStreamFaults() }

func (fau Faults) withoutStreamFaults() Faults {
	return Faults{
		Freeze: fau.Freeze, Stall: fau.Stall, Leaving: fau.Leaving, Refuse: fau.Refuse,
		LoseCancel: fau.LoseCancel, KeepDetached: fau.KeepDetached,
	}
}

func (gen *Generator) putFaults(wri http.ResponseWriter, htr *http.Request) {
	fau, ok := decode[Faults](wri, htr)
	if !ok {
		return
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.faults = fau
}

// tokenEvents returns the events that a stream sends for one token.
func (fau Faults) tokenEvents(tok invoker.Token) []invoker.Event {
	if fau.Cross {
		tok.RequestID = "crossed"
	}
	if fau.GapAfter > 0 && tok.Index == fau.GapAfter {
		return nil
	}
	eves := []invoker.Event{tok}
	if fau.Double {
		eves = append(eves, tok)
	}
	if fau.Late {
		old := tok
		old.Attempt--
		old.Text = " late"
		eves = append([]invoker.Event{old}, eves...)
	}
	return eves
}

// finishEvent returns the end event that a stream sends.
func (fau Faults) finishEvent(fin invoker.Finish) invoker.Finish {
	if fau.Cross {
		fin.RequestID = "crossed"
	}
	if fau.LieInUsage {
		fin.PromptTokens += 1000
		fin.CachedTokens = fin.PromptTokens + 1
	}
	return fin
}
