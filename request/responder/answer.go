package responder

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"hemlockpin/connection/invoker"

	"github.com/rotisserie/eris"
)

const (
	// slowCallerTimeout bounds one write to a caller, so that a caller that does not
	// read cannot block the request.
	slowCallerTimeout = 5 * time.Second
	// deadlineUpdateInterval is the minimum time between two updates of the write
	// deadline.
	deadlineUpdateInterval = 250 * time.Millisecond
)

// ErrSlowCaller reports that the caller does not read its answer.
var ErrSlowCaller = eris.New("responder: the caller does not read the answer")

// Answer writes the answer to one prompt, streamed by token or as one JSON document.
type Answer struct {
	Writer       http.ResponseWriter
	ID           string
	Model        string
	Chat         bool
	Stream       bool
	IncludeUsage bool
	Created      time.Time

	started bool
	// text is the answer so far. It is sent at the end if the answer is not streamed,
	// and is used to resume a streamed answer on another engine.
	text strings.Builder
	// pending holds the chunks that are not sent yet.
	pending []byte
	// chunkPrefix and chunkSuffix are the constant parts of a chunk around its text.
	chunkPrefix   []byte
	chunkSuffix   []byte
	deadlineSetAt time.Time
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	Details          struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Text returns the text of the answer so far.
func (ans *Answer) Text() string { return ans.text.String() }

// Started reports whether a part of the answer has been sent to the caller.
func (ans *Answer) Started() bool { return ans.started }

// Token appends one token. In a streamed answer it is sent by the next Flush.
func (ans *Answer) Token(text string) error {
	ans.text.WriteString(text)
	if !ans.Stream {
		return nil
	}
	if ans.chunkPrefix == nil {
		ans.renderChunkParts()
		return ans.appendChunk(delta{Content: text}, nil, nil)
	}
	ans.pending = append(ans.pending, ans.chunkPrefix...)
	ans.pending = appendString(ans.pending, text)
	ans.pending = append(ans.pending, ans.chunkSuffix...)
	return nil
}

// renderChunkParts prepares the parts that all chunks after the first have in common.
func (ans *Answer) renderChunkParts() {
	common := []byte(`data: {"id":`)
	common = appendString(common, ans.ID)
	common = append(common, `,"object":`...)
	common = appendString(common, ans.objectType(true))
	common = append(common, `,"created":`...)
	common = strconv.AppendInt(common, ans.Created.Unix(), 10)
	common = append(common, `,"model":`...)
	common = appendString(common, ans.Model)
	common = append(common, `,"choices":[{"index":0,`...)
	if ans.Chat {
		ans.chunkPrefix = slices.Concat(common, []byte(`"delta":{"content":`))
		ans.chunkSuffix = []byte("},\"finish_reason\":null}]}\n\n")
		return
	}
	ans.chunkPrefix = slices.Concat(common, []byte(`"text":`))
	ans.chunkSuffix = []byte(",\"finish_reason\":null}]}\n\n")
}

// appendString appends a text as a JSON string. Printable ASCII that needs no escapes
// is copied, which avoids encoding/json.
func appendString(dst []byte, text string) []byte {
	for i := range len(text) {
		if char := text[i]; char < ' ' || char > '~' || char == '"' || char == '\\' {
			buf, _ := json.Marshal(text)
			return append(dst, buf...)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}

// Flush sends the tokens added since the last Flush. It fails with ErrSlowCaller if
// the caller does not read within slowCallerTimeout.
func (ans *Answer) Flush(now time.Time) error {
	if len(ans.pending) == 0 {
		return nil
	}
	ans.writeHead()
	con := http.NewResponseController(ans.Writer)
	ans.extendDeadline(con, now)
	_, err := ans.Writer.Write(ans.pending)
	ans.pending = ans.pending[:0]
	if err == nil {
		err = con.Flush()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return eris.Wrap(ErrSlowCaller, "Answer.Flush")
	}
	return err
}

// extendDeadline sets the deadline of the next writes. It has no effect on a writer
// that does not support deadlines.
func (ans *Answer) extendDeadline(con *http.ResponseController, now time.Time) {
	if now.Sub(ans.deadlineSetAt) < deadlineUpdateInterval {
		return
	}
	ans.deadlineSetAt = now
	_ = con.SetWriteDeadline(now.Add(slowCallerTimeout))
}

// ClearDeadline removes the write deadline, so that the caller's connection can serve further
// requests.
func (ans *Answer) ClearDeadline() {
	if !ans.deadlineSetAt.IsZero() {
		_ = http.NewResponseController(ans.Writer).SetWriteDeadline(time.Time{})
	}
}

// Finish completes the answer.
func (ans *Answer) Finish(fin invoker.Finish, now time.Time) error {
	if !ans.Stream {
		ans.extendDeadline(http.NewResponseController(ans.Writer), now)
		ans.writeComplete(fin)
		return nil
	}
	if err := ans.appendChunk(delta{}, &fin.Reason, nil); err != nil {
		return err
	}
	if ans.IncludeUsage {
		if err := ans.appendChunk(delta{}, nil, &fin); err != nil {
			return err
		}
	}
	ans.appendEvent([]byte("[DONE]"))
	return ans.Flush(now)
}

// Fail ends the answer with a problem. A stream that has started gets an error event
// and no [DONE] event, so that the caller cannot mistake the answer for a complete
// answer.
func (ans *Answer) Fail(pro Problem, now time.Time) {
	if !ans.started {
		WriteProblem(ans.Writer, pro)
		return
	}
	setCode(ans.Writer, pro)
	buf, _ := json.Marshal(pro.body())
	ans.appendEvent(buf)
	_ = ans.Flush(now)
}

func (ans *Answer) writeHead() {
	if ans.started {
		return
	}
	ans.started = true
	hea := ans.Writer.Header()
	hea.Set("Content-Type", "text/event-stream")
	hea.Set("Cache-Control", "no-cache")
	hea.Set(RunHeader, string(invoker.Ran))
	ans.Writer.WriteHeader(http.StatusOK)
}

func (ans *Answer) appendEvent(buf []byte) {
	ans.pending = append(ans.pending, "data: "...)
	ans.pending = append(ans.pending, buf...)
	ans.pending = append(ans.pending, "\n\n"...)
}

// appendChunk appends the first chunk, the chunk with the finish reason or the chunk
// with the usage. fin is set only for the usage chunk, which has no choices.
func (ans *Answer) appendChunk(del delta, reason *string, fin *invoker.Finish) error {
	type choice struct {
		Index        int     `json:"index"`
		Text         *string `json:"text,omitempty"`
		Delta        *delta  `json:"delta,omitempty"`
		FinishReason *string `json:"finish_reason"`
	}
	cho := choice{FinishReason: reason}
	if ans.Chat {
		if !ans.started && len(ans.pending) == 0 {
			del.Role = "assistant"
		}
		cho.Delta = &del
	} else {
		cho.Text = &del.Content
	}
	chos := []choice{cho}
	if fin != nil {
		chos = []choice{}
	}
	buf, err := json.Marshal(struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}{ans.ID, ans.objectType(true), ans.Created.Unix(), ans.Model, chos, usageOf(fin)})
	if err != nil {
		return err
	}
	ans.appendEvent(buf)
	return nil
}

func (ans *Answer) objectType(chunk bool) string {
	switch {
	case ans.Chat && chunk:
		return "chat.completion.chunk"
	case ans.Chat:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

func usageOf(fin *invoker.Finish) *usage {
	if fin == nil {
		return nil
	}
	usa := &usage{PromptTokens: fin.PromptTokens, CompletionTokens: fin.CompletionTokens, TotalTokens: fin.PromptTokens + fin.CompletionTokens}
	usa.Details.CachedTokens = fin.CachedTokens
	return usa
}

func (ans *Answer) writeComplete(fin invoker.Finish) {
	ans.started = true
	ans.Writer.Header().Set(RunHeader, string(invoker.Ran))
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int      `json:"index"`
		Text         *string  `json:"text,omitempty"`
		Message      *message `json:"message,omitempty"`
		FinishReason string   `json:"finish_reason"`
	}
	text := ans.text.String()
	cho := choice{FinishReason: fin.Reason}
	if ans.Chat {
		cho.Message = &message{"assistant", text}
	} else {
		cho.Text = &text
	}
	WriteJSON(ans.Writer, http.StatusOK, struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage"`
	}{ans.ID, ans.objectType(false), ans.Created.Unix(), ans.Model, []choice{cho}, usageOf(&fin)})
}
