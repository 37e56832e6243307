package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/request/hasher"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rotisserie/eris"
)

const (
	ledgerTokens = 1_000_000
	ledgerWord   = "ledger "
	answerTokens = 16
	shownBytes   = 40
	columnGap    = 2
)

// result holds the times and the answer of one request.
type result struct {
	first  time.Duration
	total  time.Duration
	answer string
}

// showRequests sends sample requests, each to another host, and prints their times
// and answers.
func showRequests(ctx context.Context, fle *testkit.Fleet) error {
	samples := []struct {
		name string
		send func(ctx context.Context, host *testkit.Process) (result, error)
	}{
		{"short prompt", prompt("Why does the treadle stick?")},
		{"ledger of a million tokens", prompt(strings.Repeat(ledgerWord, ledgerTokens*hasher.BytesPerToken/len(ledgerWord)))},
		{"booking", booking},
	}
	wri := tabwriter.NewWriter(os.Stdout, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(wri, "REQUEST\tHOST\tFIRST TOKEN\tTOTAL\tANSWER")
	for i, sample := range samples {
		host := fle.Hosts[i%len(fle.Hosts)]
		res, err := sample.send(ctx, host)
		if err != nil {
			return eris.Wrapf(err, "%s at host %s", sample.name, host.ID)
		}
		first := "-"
		if res.first > 0 {
			first = milliseconds(res.first)
		}
		fmt.Fprintf(wri, "%s\t%s\t%s\t%s\t%s\n", sample.name, host.ID, first, milliseconds(res.total), shorten(res.answer))
	}
	return wri.Flush()
}

func milliseconds(duration time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(duration.Microseconds())/1000)
}

func shorten(text string) string {
	if len(text) <= shownBytes {
		return text
	}
	return text[:shownBytes] + "..."
}

// prompt returns a function that sends a prompt and streams the answer through the
// unmodified OpenAI client.
func prompt(text string) func(context.Context, *testkit.Process) (result, error) {
	return func(ctx context.Context, host *testkit.Process) (result, error) {
		cli := openai.NewClient(option.WithBaseURL("http://"+host.Address+"/v1/"), option.WithAPIKey(testkit.Key), option.WithMaxRetries(0))
		var res result
		var acc openai.ChatCompletionAccumulator
		start := time.Now()
		str := cli.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
			Model: testkit.Model, MaxTokens: openai.Int(answerTokens),
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		})
		defer str.Close()
		for str.Next() {
			if res.first == 0 {
				res.first = time.Since(start)
			}
			acc.AddChunk(str.Current())
		}
		res.total = time.Since(start)
		if err := str.Err(); err != nil {
			return res, err
		}
		if len(acc.Choices) == 0 {
			return res, eris.New("the answer is empty")
		}
		res.answer = acc.Choices[0].Message.Content
		return res, nil
	}
}

func booking(ctx context.Context, host *testkit.Process) (result, error) {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Address+"/bookings", bytes.NewBufferString(`{"Slot":"2026-12-05T09:00"}`))
	if err != nil {
		return result{}, err
	}
	req.Header.Set("Authorization", "Bearer "+testkit.Key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{}, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = eris.Errorf("status %d: %s", res.StatusCode, text)
	}
	return result{total: time.Since(start), answer: strings.TrimSpace(string(text))}, err
}
