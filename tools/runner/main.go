// Command runner starts the stand-ins and three entry hosts as processes, sends
// a short prompt, a prompt of a million tokens and a booking, and prints the
// answers and their times.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/request/hasher"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
)

const ledgerTokens = 1_000_000

type settings struct {
	Bin     string `long:"bin" default:"bin" description:"folder of the built programs"`
	Hosts   int    `long:"hosts" default:"3" description:"entry hosts"`
	Engines int    `long:"engines" default:"4" description:"model engines"`
	Keep    bool   `long:"keep" description:"leave the fleet running until interrupted"`
	Verbose bool   `long:"verbose" description:"show the logs of the processes"`
}

func main() {
	var set settings
	if _, err := flags.Parse(&set); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(set); err != nil {
		fmt.Fprintln(os.Stderr, "runner:", err)
		os.Exit(1)
	}
}

func run(set settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	pla := testkit.Plan{Bin: set.Bin, Hosts: set.Hosts, Engines: set.Engines, Services: 2, Model: testkit.Model, Tables: testkit.SampleTables()}
	if set.Verbose {
		pla.Logs = os.Stderr
	}
	fle, err := testkit.Start(ctx, pla)
	if err != nil {
		return err
	}
	defer fle.Stop()
	fmt.Printf("%d hosts, %d engines, 2 services; callers at http://%s/v1, operators at http://%s\n", set.Hosts, set.Engines, fle.Hosts[0].Address, fle.Hosts[0].Operator)
	if err := show(ctx, fle); err != nil {
		return err
	}
	if set.Keep {
		fmt.Println("running; interrupt to stop")
		<-ctx.Done()
	}
	return nil
}

func show(ctx context.Context, fle *testkit.Fleet) error {
	tries := []struct {
		name string
		path string
		body any
	}{
		{"short prompt", "/v1/chat/completions", chat("Why does the treadle stick?", 16)},
		{"million-token ledger", "/v1/chat/completions", chat(strings.Repeat("ledger ", ledgerTokens*hasher.BytesPerToken/7), 16)},
		{"booking", "/bookings", map[string]string{"Slot": "2026-12-05T09:00"}},
	}
	for ind, try := range tries {
		hos := fle.Hosts[ind%len(fle.Hosts)]
		beg := time.Now()
		ans, err := post(ctx, "http://"+hos.Address+try.path, try.body)
		if err != nil {
			return eris.Wrapf(err, "%s at host %s", try.name, hos.ID)
		}
		fmt.Printf("%-21s %8.1f ms  %s\n", try.name, float64(time.Since(beg).Microseconds())/1000, ans)
	}
	return nil
}

func chat(text string, maxTokens int) any {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	return struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		MaxTokens int       `json:"max_tokens"`
	}{testkit.Model, []message{{"user", text}}, maxTokens}
}

func post(ctx context.Context, url string, body any) (string, error) {
	buf, err := json.Marshal(body)
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(buf))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+testkit.Key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	txt, err := io.ReadAll(res.Body)
	if err != nil {
		return "", err
	}
	if res.StatusCode != http.StatusOK {
		return "", eris.Errorf("status %d: %s", res.StatusCode, txt)
	}
	return strings.TrimSpace(string(txt)), nil
}
