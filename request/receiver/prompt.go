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

	"hemlockpin/connection/decoder"
	"hemlockpin/request/hasher"

	"github.com/rotisserie/eris"
)

const (
	// defaultMaxTokens is the answer limit of a request that sets no limit.
	defaultMaxTokens = 256
	// MaxAnswerTokens bounds the answer tokens that a caller may request.
	MaxAnswerTokens = 32_768

	maxModelBytes = 256
)

// Prompt is a parsed completion request.
type Prompt struct {
	Chat         bool
	Stream       bool
	IncludeUsage bool
	Model        string
	Text         string
	Tokens       int64
	MaxTokens    int64
	Seed         int64
	// Ignored names the fields that are valid but have no effect, because engines
	// do not support sampling settings.
	Ignored []string
}

// wirePrompt is the body of chat completions and of text completions.
type wirePrompt struct {
	Model string `json:"model"`
	// Prompt and message contents are decoded in the same pass as the other
	// fields, which avoids a second pass over a long prompt.
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

// wireSampling holds the sampling fields that are validated but have no effect.
type wireSampling struct {
	Temperature      *float64 `json:"temperature"`
	TopP             *float64 `json:"top_p"`
	PresencePenalty  *float64 `json:"presence_penalty"`
	FrequencyPenalty *float64 `json:"frequency_penalty"`
}

// wireUnsupported holds the fields that would change the answer in a way that
// hemlockpin does not support. They are refused unless their value has no effect.
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

// ParsePrompt reads and validates the body of /v1/chat/completions, if chat is
// set, or of /v1/completions. It returns a RefusalError for an invalid request.
func ParsePrompt(bod io.Reader, maxBytes int64, chat bool) (Prompt, error) {
	buf, err := ReadBody(bod, maxBytes)
	if err != nil {
		return Prompt{}, err
	}
	return parsePrompt(buf, chat)
}

func parsePrompt(buf []byte, chat bool) (Prompt, error) {
	if !utf8.Valid(buf) {
		return Prompt{}, badRequest("invalid_utf8", "", "the body is not valid UTF-8")
	}
	var req wirePrompt
	if err := json.Unmarshal(decoder.Normalize(buf), &req); err != nil {
		return Prompt{}, jsonError(err)
	}
	if err := req.validate(); err != nil {
		return Prompt{}, err
	}
	text, err := promptText(chat, req.Prompt, req.Messages)
	if err != nil {
		return Prompt{}, err
	}
	max, err := answerLimit(req.MaxCompletionTokens, req.MaxTokens)
	if err != nil {
		return Prompt{}, err
	}
	return Prompt{
		Chat: chat, Stream: req.Stream, IncludeUsage: req.StreamOptions != nil && req.StreamOptions.IncludeUsage, Model: req.Model,
		Text: text, Tokens: hasher.Tokens(text), MaxTokens: max, Seed: req.Seed, Ignored: req.ignored(),
	}, nil
}

// jsonError describes a decoding error by JSON field and offset, without names of Go
// types.
func jsonError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return badRequest("invalid_type", typeErr.Field, fmt.Sprintf("byte %d: %s cannot stand here", typeErr.Offset, typeErr.Value))
	}
	return badRequest("invalid_json", "", "the body is not valid JSON: "+err.Error())
}

func (req wirePrompt) validate() error {
	switch {
	case req.Model == "":
		return badRequest("missing_model", "model", "model is missing")
	case len(req.Model) > maxModelBytes:
		return badRequest("invalid_model", "model", fmt.Sprintf("model is over %d bytes", maxModelBytes))
	case req.N != nil && *req.N != 1:
		return badRequest("unsupported_n", "n", "n must be 1")
	case req.StreamOptions != nil && !req.Stream:
		return badRequest("invalid_stream_options", "stream_options", "stream_options is for stream: true")
	}
	if err := req.wireSampling.validate(); err != nil {
		return err
	}
	return req.wireUnsupported.validate()
}

type samplingField struct {
	name     string
	val      *float64
	min, max float64
}

func (sam wireSampling) fields() []samplingField {
	return []samplingField{
		{"temperature", sam.Temperature, 0, 2},
		{"top_p", sam.TopP, 0, 1},
		{"presence_penalty", sam.PresencePenalty, -2, 2},
		{"frequency_penalty", sam.FrequencyPenalty, -2, 2},
	}
}

func (sam wireSampling) validate() error {
	for _, field := range sam.fields() {
		if field.val != nil && (*field.val < field.min || *field.val > field.max) {
			return badRequest("invalid_"+field.name, field.name, fmt.Sprintf("%s must be %g to %g", field.name, field.min, field.max))
		}
	}
	return nil
}

func (sam wireSampling) ignored() []string {
	var out []string
	for _, field := range sam.fields() {
		if field.val != nil {
			out = append(out, field.name)
		}
	}
	return out
}

func (uns wireUnsupported) validate() error {
	fields := []struct {
		name string
		raw  json.RawMessage
		// neutralValues are non-empty values that have no effect.
		neutralValues []string
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
	for _, field := range fields {
		if !hasNoEffect(field.raw, field.neutralValues...) {
			return badRequest("unsupported_"+field.name, field.name, field.name+" is not supported")
		}
	}
	return nil
}

// hasNoEffect reports whether a value is missing, null, false, empty or one of
// neutralValues.
func hasNoEffect(raw json.RawMessage, neutralValues ...string) bool {
	var buf bytes.Buffer
	if len(raw) == 0 || json.Compact(&buf, raw) != nil {
		return true
	}
	return slices.Contains([]string{"null", "[]", "{}", `""`, "false"}, buf.String()) || slices.Contains(neutralValues, buf.String())
}

func promptText(chat bool, prompt any, messages []wireMessage) (string, error) {
	if !chat {
		text, _ := prompt.(string)
		if text == "" {
			return "", badRequest("invalid_prompt", "prompt", "prompt must be a non-empty string")
		}
		return text, nil
	}
	if len(messages) == 0 {
		return "", badRequest("missing_messages", "messages", "messages is empty")
	}
	var builder strings.Builder
	for i, mes := range messages {
		content, err := mes.text()
		if err != nil {
			return "", badRequest("invalid_message", fmt.Sprintf("messages[%d]", i), err.Error())
		}
		builder.Grow(len(mes.Role) + len(content) + len(": \n"))
		builder.WriteString(mes.Role)
		builder.WriteString(": ")
		builder.WriteString(content)
		builder.WriteByte('\n')
	}
	return builder.String(), nil
}

// text validates the message and returns its content.
func (mes wireMessage) text() (string, error) {
	switch mes.Role {
	case "system", "developer", "user", "assistant":
	case "":
		return "", eris.New("role is missing")
	default:
		return "", eris.Errorf("role %q is not supported", mes.Role)
	}
	if !hasNoEffect(mes.ToolCalls) {
		return "", eris.New("tool_calls is not supported")
	}
	switch content := mes.Content.(type) {
	case string:
		return content, nil
	case []any:
		return partsText(content)
	default:
		return "", eris.New("content must be a string or a list of parts")
	}
}

// partsText concatenates the text parts of a message's content.
func partsText(parts []any) (string, error) {
	var builder strings.Builder
	for _, element := range parts {
		part, isObject := element.(map[string]any)
		text, ok := part["text"].(string)
		switch {
		case !isObject:
			return "", eris.New("a part must be an object with type and text")
		case part["type"] != "text":
			return "", eris.Errorf("content parts of type %q are not supported", fmt.Sprint(part["type"]))
		case !ok:
			return "", eris.New("a text part must have a text")
		}
		builder.WriteString(text)
	}
	return builder.String(), nil
}

// answerLimit returns the first limit that is set, or defaultMaxTokens if none is.
func answerLimit(limits ...*int64) (int64, error) {
	for _, limit := range limits {
		if limit == nil {
			continue
		}
		if *limit < 1 || *limit > MaxAnswerTokens {
			return 0, badRequest("invalid_max_tokens", "max_tokens", fmt.Sprintf("max_tokens must be 1 to %d", MaxAnswerTokens))
		}
		return *limit, nil
	}
	return defaultMaxTokens, nil
}
