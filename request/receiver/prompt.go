package receiver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode/utf8"

	"hemlockpin/request/hasher"

	"github.com/rotisserie/eris"
)

const (
	defaultMaxTokens = 256
	// MaxAnswerTokens bounds the tokens that a caller may ask for.
	MaxAnswerTokens = 32_768

	maxModelBytes = 256
)

// Prompt is a parsed request for an answer of a model.
type Prompt struct {
	Chat         bool
	Stream       bool
	IncludeUsage bool
	Model        string
	Text         string
	Tokens       int64
	MaxTokens    int64
	Seed         int64
	// Ignored names the fields that are valid but have no effect, because
	// engines take no sampling settings.
	Ignored []string
}

// wirePrompt is the body of both kinds of completions.
type wirePrompt struct {
	Model string `json:"model"`
	// Prompt and contents are decoded in the same pass as the rest, since each
	// pass over a long prompt counts.
	Prompt              any            `json:"prompt"`
	Messages            []wireMessage  `json:"messages"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	MaxTokens           *int64         `json:"max_tokens"`
	MaxCompletionTokens *int64         `json:"max_completion_tokens"`
	Seed                int64          `json:"seed"`
	N                   *int64         `json:"n"`
	wireSampling
	wireUnsupported
}

// wireMessage is one chat message.
type wireMessage struct {
	Role      string          `json:"role"`
	Content   any             `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// wireSampling holds the settings that are checked and have no effect.
type wireSampling struct {
	Temperature      *float64 `json:"temperature"`
	TopP             *float64 `json:"top_p"`
	PresencePenalty  *float64 `json:"presence_penalty"`
	FrequencyPenalty *float64 `json:"frequency_penalty"`
}

// wireUnsupported holds the fields that would change the answer in a way that
// hemlockpin does not offer. They are refused unless empty.
type wireUnsupported struct {
	Stop           json.RawMessage `json:"stop"`
	Tools          json.RawMessage `json:"tools"`
	ToolChoice     json.RawMessage `json:"tool_choice"`
	Functions      json.RawMessage `json:"functions"`
	FunctionCall   json.RawMessage `json:"function_call"`
	ResponseFormat json.RawMessage `json:"response_format"`
	Logprobs       json.RawMessage `json:"logprobs"`
	TopLogprobs    json.RawMessage `json:"top_logprobs"`
	LogitBias      json.RawMessage `json:"logit_bias"`
	BestOf         json.RawMessage `json:"best_of"`
	Echo           json.RawMessage `json:"echo"`
	Suffix         json.RawMessage `json:"suffix"`
	Audio          json.RawMessage `json:"audio"`
	Modalities     json.RawMessage `json:"modalities"`
}

// ParsePrompt reads the body of /v1/chat/completions or /v1/completions.
func ParsePrompt(bod io.Reader, maxBytes int64, chat bool) (Prompt, error) {
	buf, err := ReadBody(bod, maxBytes)
	if err != nil {
		return Prompt{}, err
	}
	return parsePrompt(buf, chat)
}

func parsePrompt(buf []byte, chat bool) (Prompt, error) {
	if !utf8.Valid(buf) {
		return Prompt{}, bad("invalid_utf8", "", "the body is not valid UTF-8")
	}
	var req wirePrompt
	if err := json.Unmarshal(buf, &req); err != nil {
		return Prompt{}, jsonFault(err)
	}
	if err := req.validate(); err != nil {
		return Prompt{}, err
	}
	txt, err := promptText(chat, req.Prompt, req.Messages)
	if err != nil {
		return Prompt{}, err
	}
	max, err := answerLimit(req.MaxCompletionTokens, req.MaxTokens)
	if err != nil {
		return Prompt{}, err
	}
	return Prompt{
		Chat: chat, Stream: req.Stream, IncludeUsage: req.StreamOptions != nil && req.StreamOptions.IncludeUsage, Model: req.Model,
		Text: txt, Tokens: hasher.Tokens(txt), MaxTokens: max, Seed: req.Seed, Ignored: req.ignored(),
	}, nil
}

// jsonFault names the field of a wrong type in the caller's terms.
func jsonFault(err error) error {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) {
		return bad("invalid_type", typ.Field, fmt.Sprintf("byte %d: %s cannot stand here", typ.Offset, typ.Value))
	}
	return bad("invalid_json", "", "the body is not valid JSON: "+err.Error())
}

func (req wirePrompt) validate() error {
	switch {
	case req.Model == "":
		return bad("missing_model", "model", "model is missing")
	case len(req.Model) > maxModelBytes:
		return bad("invalid_model", "model", fmt.Sprintf("model is over %d bytes", maxModelBytes))
	case req.N != nil && *req.N != 1:
		return bad("unsupported_n", "n", "n must be 1")
	case req.StreamOptions != nil && !req.Stream:
		return bad("invalid_stream_options", "stream_options", "stream_options is for stream: true")
	}
	if err := req.wireSampling.validate(); err != nil {
		return err
	}
	return req.wireUnsupported.validate()
}

type bounded struct {
	name     string
	val      *float64
	low, top float64
}

func (sam wireSampling) fields() []bounded {
	return []bounded{
		{"temperature", sam.Temperature, 0, 2},
		{"top_p", sam.TopP, 0, 1},
		{"presence_penalty", sam.PresencePenalty, -2, 2},
		{"frequency_penalty", sam.FrequencyPenalty, -2, 2},
	}
}

func (sam wireSampling) validate() error {
	for _, fie := range sam.fields() {
		if fie.val != nil && (*fie.val < fie.low || *fie.val > fie.top) {
			return bad("invalid_"+fie.name, fie.name, fmt.Sprintf("%s must be %g to %g", fie.name, fie.low, fie.top))
		}
	}
	return nil
}

func (sam wireSampling) ignored() []string {
	var out []string
	for _, fie := range sam.fields() {
		if fie.val != nil {
			out = append(out, fie.name)
		}
	}
	return out
}

func (uns wireUnsupported) validate() error {
	fies := []struct {
		name string
		raw  json.RawMessage
		// also lists values that ask for nothing, beside the empty ones.
		also []string
	}{
		{"stop", uns.Stop, nil},
		{"tools", uns.Tools, nil},
		{"tool_choice", uns.ToolChoice, []string{`"none"`, `"auto"`}},
		{"functions", uns.Functions, nil},
		{"function_call", uns.FunctionCall, []string{`"none"`, `"auto"`}},
		{"response_format", uns.ResponseFormat, []string{`{"type":"text"}`}},
		{"logprobs", uns.Logprobs, nil},
		{"top_logprobs", uns.TopLogprobs, []string{"0"}},
		{"logit_bias", uns.LogitBias, nil},
		{"best_of", uns.BestOf, []string{"1"}},
		{"echo", uns.Echo, nil},
		{"suffix", uns.Suffix, nil},
		{"audio", uns.Audio, nil},
		{"modalities", uns.Modalities, []string{`["text"]`}},
	}
	for _, fie := range fies {
		if !neutral(fie.raw, fie.also...) {
			return bad("unsupported_"+fie.name, fie.name, fie.name+" is not supported")
		}
	}
	return nil
}

// neutral reports whether a value is empty or one of also.
func neutral(raw json.RawMessage, also ...string) bool {
	var buf bytes.Buffer
	if len(raw) == 0 || json.Compact(&buf, raw) != nil {
		return true
	}
	return slices.Contains([]string{"null", "[]", "{}", `""`, "false"}, buf.String()) || slices.Contains(also, buf.String())
}

func promptText(chat bool, pro any, mess []wireMessage) (string, error) {
	if !chat {
		txt, _ := pro.(string)
		if txt == "" {
			return "", bad("invalid_prompt", "prompt", "prompt must be a non-empty string")
		}
		return txt, nil
	}
	if len(mess) == 0 {
		return "", bad("missing_messages", "messages", "messages is empty")
	}
	var bui strings.Builder
	for ind, mes := range mess {
		con, err := mes.text()
		if err != nil {
			return "", bad("invalid_message", fmt.Sprintf("messages[%d]", ind), err.Error())
		}
		bui.Grow(len(mes.Role) + len(con) + len(": \n"))
		bui.WriteString(mes.Role)
		bui.WriteString(": ")
		bui.WriteString(con)
		bui.WriteByte('\n')
	}
	return bui.String(), nil
}

// text checks the message and returns its content.
func (mes wireMessage) text() (string, error) {
	switch mes.Role {
	case "system", "developer", "user", "assistant":
	case "":
		return "", eris.New("role is missing")
	default:
		return "", eris.Errorf("role %q is not supported", mes.Role)
	}
	if !neutral(mes.ToolCalls) {
		return "", eris.New("tool_calls is not supported")
	}
	switch con := mes.Content.(type) {
	case string:
		return con, nil
	case []any:
		return partsText(con)
	default:
		return "", eris.New("content must be a string or a list of parts")
	}
}

// partsText joins the text parts of a content.
func partsText(pars []any) (string, error) {
	var bui strings.Builder
	for _, one := range pars {
		par, obj := one.(map[string]any)
		txt, ok := par["text"].(string)
		switch {
		case !obj:
			return "", eris.New("a part must be an object with type and text")
		case par["type"] != "text":
			return "", eris.Errorf("content parts of type %q are not supported", fmt.Sprint(par["type"]))
		case !ok:
			return "", eris.New("a text part must have a text")
		}
		bui.WriteString(txt)
	}
	return bui.String(), nil
}

func answerLimit(lims ...*int64) (int64, error) {
	for _, lim := range lims {
		if lim == nil {
			continue
		}
		if *lim < 1 || *lim > MaxAnswerTokens {
			return 0, bad("invalid_max_tokens", "max_tokens", fmt.Sprintf("max_tokens must be 1 to %d", MaxAnswerTokens))
		}
		return *lim, nil
	}
	return defaultMaxTokens, nil
}
