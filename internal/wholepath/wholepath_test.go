package wholepath_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/standin/generator"
	"hemlockpin/version/parser"

	"github.com/google/uuid"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

func startFleet(t *testing.T, pla testkit.Plan) *testkit.Fleet {
	t.Helper()
	bin, err := testkit.Build()
	require.NoError(t, err)
	pla.Bin = bin
	pla.Model = testkit.Model
	if pla.Tables.Pools == nil {
		pla.Tables = testkit.SampleTables()
	}
	fle, err := testkit.Start(t.Context(), pla)
	require.NoError(t, err)
	t.Cleanup(fle.Stop)
	return fle
}

func client(host *testkit.Process, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+host.Address+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func answerText(text string, tokens int64) string {
	var bui strings.Builder
	for i := range tokens {
		bui.WriteString(generator.TokenText("user: "+text+"\n", 0, i))
	}
	return bui.String()
}

func params(text string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     testkit.Model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxTokens: openai.Int(tokens),
	}
}

func TestWholePath(t *testing.T) {
	fle := startFleet(t, testkit.Plan{Hosts: 3, Engines: 2, Services: 1})
	cli := client(fle.Hosts[0], testkit.Key)

	t.Run("streamed", func(t *testing.T) {
		str := cli.Chat.Completions.NewStreaming(t.Context(), params("Why does the treadle stick?", 12))
		acc := openai.ChatCompletionAccumulator{}
		for str.Next() {
			acc.AddChunk(str.Current())
		}
		require.NoError(t, str.Err())
		require.Equal(t, answerText("Why does the treadle stick?", 12), acc.Choices[0].Message.Content)
	})

	t.Run("whole", func(t *testing.T) {
		ans, err := cli.Chat.Completions.New(t.Context(), params("Hum", 5))
		require.NoError(t, err)
		require.Equal(t, answerText("Hum", 5), ans.Choices[0].Message.Content)
		require.Equal(t, int64(5), ans.Usage.CompletionTokens)
	})

	t.Run("unknown model", func(t *testing.T) {
		par := params("Hum", 5)
		par.Model = "no-model"
		_, err := cli.Chat.Completions.New(t.Context(), par)
		var apiErr *openai.Error
		require.ErrorAs(t, err, &apiErr)
		require.Equal(t, http.StatusNotFound, apiErr.StatusCode)
		require.Equal(t, "model_not_found", apiErr.Code)
	})

	t.Run("models", func(t *testing.T) {
		models, err := cli.Models.List(t.Context())
		require.NoError(t, err)
		require.Len(t, models.Data, 1)
		require.Equal(t, testkit.Model, models.Data[0].ID)
	})

	t.Run("booking", func(t *testing.T) {
		key := uuid.Must(uuid.NewV7()).String()
		first := book(t, fle.Hosts[1], key, "slot")
		again := book(t, fle.Hosts[2], key, "slot")
		require.Equal(t, first, again)
		var runs map[string]int
		require.NoError(t, testkit.GetJSON(t.Context(), "http://"+fle.Services[0].Address+"/control/runs", &runs))
		require.Equal(t, map[string]int{key: 1}, runs)
	})

	t.Run("edit", func(t *testing.T) {
		tab := testkit.SampleTables()
		tab.Routes[0].TimeLimit = parser.Duration(5 * time.Second)
		outcome, err := fle.Edit(t.Context(), 1, tab, 1)
		require.NoError(t, err)
		require.Equal(t, uint64(2), outcome.Revision)
		for _, host := range fle.Hosts {
			require.NoError(t, testkit.Poll(t.Context(), 7*time.Second, func() bool {
				sta, err := fle.Status(context.Background(), host)
				return err == nil && sta.TablesRevision == 2
			}))
		}
	})
}

func book(t *testing.T, host *testkit.Process, key, body string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+host.Address+"/bookings", bytes.NewBufferString(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testkit.Key)
	req.Header.Set("Idempotency-Key", key)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode, string(text))
	return string(text)
}
