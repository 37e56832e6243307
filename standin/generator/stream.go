package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"hemlockpin/connection/invoker"
)

const (
	// maxTokensPerWrite bounds the tokens sent in one write.
	maxTokensPerWrite = 64
	oversizedBytes    = 4 << 20
)

// stream is a connection that reads a sequence as server-sent events.
type stream struct {
	generator *Generator
	sequence  *sequence
	req       invoker.GenerateRequest
	faults    Faults
	writer    http.ResponseWriter
	buf       bytes.Buffer
}

// run sends events until the sequence or the connection ends.
func (str *stream) run(ctx context.Context) {
	gen := str.generator
	con := http.NewResponseController(str.writer)
	ticker := time.NewTicker(gen.set.IdleEvery)
	defer ticker.Stop()
	for {
		more := str.render()
		_, err := str.writer.Write(str.buf.Bytes())
		str.buf.Reset()
		if err == nil {
			err = con.Flush()
		}
		if !more {
			return
		}
		if err != nil || ctx.Err() != nil {
			break
		}
		select {
		case <-str.sequence.notify:
		case <-ticker.C:
			str.renderIdle()
		case <-ctx.Done():
		}
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	gen.detach(str.sequence, str.req.Attempt, time.Now())
}

func (str *stream) renderIdle() {
	gen := str.generator
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if gen.faults.Freeze {
		return
	}
	str.renderEvent("Idle", invoker.Idle{Prefilled: str.sequence.prefilled, Ahead: gen.ahead(str.sequence)})
}

// render renders the events that the reader has not received yet and reports
// whether more events follow.
func (str *stream) render() bool {
	gen := str.generator
	seq := str.sequence
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if seq.attachedAttempt != str.req.Attempt {
		return false
	}
	if gen.faults.Freeze {
		str.buf.Reset()
		return true
	}
	for n := 0; seq.nextRead < seq.next && n < maxTokensPerWrite; n++ {
		if !str.renderToken() {
			gen.detach(seq, str.req.Attempt, time.Now())
			return false
		}
	}
	if seq.nextRead < seq.next {
		seq.notifyReader()
		return true
	}
	return str.renderEnd()
}

// renderToken renders the next token, or the injected fault in its place, and
// reports whether the stream continues.
func (str *stream) renderToken() bool {
	seq := str.sequence
	sent := seq.nextRead - str.req.StartIndex
	fau := str.faults
	switch {
	case fau.BreakAfter > 0 && sent >= fau.BreakAfter:
		return false
	case fau.FinishAfter > 0 && sent >= fau.FinishAfter:
		str.renderFinish(seq.nextRead)
		return false
	case fau.Malformed > 0 && sent == fau.Malformed:
		str.buf.WriteString("event: Token\ndata: {\"Index\": nonsense\n\n")
	case fau.Oversized > 0 && sent == fau.Oversized:
		str.buf.WriteString("event: Token\ndata: " + strings.Repeat("x", oversizedBytes) + "\n\n")
	}
	tok := invoker.Token{RequestID: str.req.RequestID, Attempt: str.req.Attempt, Index: seq.nextRead, Text: tokenText(seq.digest, str.req.Seed, seq.nextRead)}
	for _, eve := range fau.tokenEvents(tok) {
		str.renderEvent("Token", eve)
	}
	seq.nextRead++
	return true
}

func (str *stream) renderEnd() bool {
	seq := str.sequence
	if !seq.done {
		return true
	}
	if seq.failed != nil {
		str.renderEvent("Error", *seq.failed)
	} else {
		str.renderFinish(seq.next)
	}
	str.generator.remove(seq)
	return false
}

func (str *stream) renderFinish(tokens int64) {
	fin := invoker.Finish{
		RequestID: str.req.RequestID, Attempt: str.req.Attempt, Reason: "length", PromptTokens: str.req.PromptTokens,
		CachedTokens: min(str.sequence.cached, str.req.PromptTokens), CompletionTokens: tokens,
	}
	str.renderEvent("Finish", str.faults.finishEvent(fin))
}

func (str *stream) renderEvent(name string, eve any) {
	buf, _ := json.Marshal(eve)
	fmt.Fprintf(&str.buf, "event: %s\ndata: %s\n\n", name, buf)
}
