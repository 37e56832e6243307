package wholepath_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"hemlockpin/internal/testkit"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

// TestClient checks with the official OpenAI client what TestWholePath does not
// cover.
func TestClient(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 1})
	cli := client(fle.Hosts[0], testkit.Key)

	t.Run("stream with usage", func(t *testing.T) {
		par := params("Hum", 7)
		par.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
		str := cli.Chat.Completions.NewStreaming(t.Context(), par)
		acc := openai.ChatCompletionAccumulator{}
		for str.Next() {
			require.True(t, acc.AddChunk(str.Current()))
		}
		require.NoError(t, str.Err())
		require.Equal(t, answerText("Hum", 7), acc.Choices[0].Message.Content)
		require.Equal(t, "assistant", string(acc.Choices[0].Message.Role))
		require.Equal(t, int64(7), acc.Usage.CompletionTokens)
		require.Equal(t, acc.Usage.PromptTokens+7, acc.Usage.TotalTokens)
	})

	t.Run("completion", func(t *testing.T) {
		ans, err := cli.Completions.New(t.Context(), openai.CompletionNewParams{
			Model: testkit.Model, MaxTokens: openai.Int(3), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hum")},
		})
		require.NoError(t, err)
		require.Equal(t, "text_completion", string(ans.Object))
		require.Equal(t, int64(3), ans.Usage.CompletionTokens)
	})

	t.Run("ignored field", func(t *testing.T) {
		par := params("Hum", 2)
		par.Temperature = openai.Float(0.3)
		var res *http.Response
		_, err := cli.Chat.Completions.New(t.Context(), par, option.WithResponseInto(&res))
		require.NoError(t, err)
		require.Equal(t, "temperature", res.Header.Get("Hemlockpin-Ignored"))
		require.Equal(t, "Ran", res.Header.Get("Hemlockpin-Run"))
	})
}

// TestClientErrors checks that the official client parses error responses into its
// error type with all fields.
func TestClientErrors(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 1, HostArgs: []string{"--max-body-bytes", "20000"}})
	tt := []struct {
		name   string
		key    string
		change func(*openai.ChatCompletionNewParams)
		status int
		kind   string
		code   string
		param  string
	}{
		{"unknown key", "nobody", func(*openai.ChatCompletionNewParams) {}, 401, "authentication_error", "invalid_api_key", ""},
		{"unsupported field", testkit.Key, func(par *openai.ChatCompletionNewParams) { par.N = openai.Int(2) }, 400, "invalid_request_error", "unsupported_n", "n"},
		{"stop", testkit.Key, func(par *openai.ChatCompletionNewParams) {
			par.Stop = openai.ChatCompletionNewParamsStopUnion{OfString: openai.String("x")}
		}, 400, "invalid_request_error", "unsupported_stop", "stop"},
		{"too large", testkit.Key, func(par *openai.ChatCompletionNewParams) {
			par.Messages = []openai.ChatCompletionMessageParamUnion{openai.UserMessage(strings.Repeat("x", 30_000))}
		}, 413, "invalid_request_error", "body_too_large", ""},
	}
	for _, tc := range tt {
		t.Run(tc.name, func(t *testing.T) {
			par := params("Hum", 2)
			tc.change(&par)
			cli := client(fle.Hosts[0], tc.key)
			_, err := cli.Chat.Completions.New(t.Context(), par)
			var apiErr *openai.Error
			require.ErrorAs(t, err, &apiErr)
			require.Equal(t, tc.status, apiErr.StatusCode)
			require.Equal(t, tc.kind, apiErr.Type)
			require.Equal(t, tc.code, apiErr.Code)
			require.Equal(t, tc.param, apiErr.Param)
			require.Equal(t, "NotRun", apiErr.Response.Header.Get("Hemlockpin-Run"))
		})
	}
}

// TestWaitingLimit fills a host that admits one request with a stream. Another
// request must be refused, and admitted after the stream has been closed.
func TestWaitingLimit(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 1, Engines: 1, HostArgs: []string{"--max-requests", "1"}})
	cli := client(fle.Hosts[0], testkit.Key)
	str := cli.Chat.Completions.NewStreaming(t.Context(), params("Hum", 20_000))
	defer str.Close()
	require.True(t, str.Next(), "%v", str.Err())
	_, err := cli.Chat.Completions.New(t.Context(), params("Hum", 1))
	var apiErr *openai.Error
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, http.StatusServiceUnavailable, apiErr.StatusCode)
	require.Equal(t, "host_full", apiErr.Code)
	require.Equal(t, "NotRun", apiErr.Response.Header.Get("Hemlockpin-Run"))
	require.NotEmpty(t, apiErr.Response.Header.Get("Retry-After"))
	require.NoError(t, str.Close())
	require.NoError(t, testkit.Poll(t.Context(), 10*time.Second, func() bool {
		_, err := cli.Chat.Completions.New(t.Context(), params("Hum", 1))
		return err == nil
	}))
}
