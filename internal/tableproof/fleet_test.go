package tableproof_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"hemlockpin/internal/testkit"
	"hemlockpin/process/server"
	"hemlockpin/standin/generator"
	"hemlockpin/version/parser"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

const (
	// inForceBound is the time within which an accepted edit must be in force
	// on all hosts.
	inForceBound = 7 * time.Second
	// leavingBound is the time after which a leaving endpoint must get no new
	// requests.
	leavingBound = 3 * time.Second
	// settleBound bounds the wait until the hosts of a fleet agree again after
	// a change or a fault.
	settleBound = 30 * time.Second
)

// fleet is a fleet whose hosts reach the platform and each other through links.
type fleet struct {
	*testkit.Fleet
	t *testing.T

	mu        sync.Mutex
	platforms []*testkit.Link
	peers     map[string]*testkit.Link
}

func (fle *fleet) link(name, address string) *testkit.Link {
	lin, err := testkit.NewLink(name, address)
	require.NoError(fle.t, err)
	fle.t.Cleanup(lin.Close)
	return lin
}

// startFleet starts a fleet and waits until all hosts know each other. The first
// host is the seed peer of the others.
func startFleet(t *testing.T, pla testkit.Plan) *fleet {
	t.Helper()
	bin, err := testkit.Build()
	require.NoError(t, err)
	fle := &fleet{t: t, peers: map[string]*testkit.Link{}}
	pla.Bin = bin
	pla.Model = testkit.Model
	if os.Getenv("HEMLOCKPIN_TEST_LOGS") != "" {
		pla.Logs = os.Stderr
	}
	pla.Tables = testkit.SampleTables()
	pla.HostArgs = append(pla.HostArgs, "--drain-notice", "500ms")
	more := pla.HostArgsFor
	pla.HostArgsFor = func(i int) []string {
		var args []string
		if more != nil {
			args = more(i)
		}
		if i == 0 || fle.Fleet == nil {
			return args
		}
		return append(args, "--seed-peer", fle.Hosts[0].Peer)
	}
	pla.PlatformVia = func(address string) string {
		lin := fle.link(fmt.Sprintf("platform-%d", len(fle.platforms)), address)
		fle.platforms = append(fle.platforms, lin)
		return lin.Address()
	}
	pla.PeerVia = func(id, address string) string {
		fle.mu.Lock()
		defer fle.mu.Unlock()
		if fle.peers[id] == nil {
			fle.peers[id] = fle.link("peer-"+id, address)
		}
		return fle.peers[id].Address()
	}
	fle.Fleet, err = testkit.Start(t.Context(), pla)
	require.NoError(t, err)
	t.Cleanup(fle.Stop)
	fle.waitAlive(len(fle.Hosts))
	return fle
}

func (fle *fleet) status(host *testkit.Process) server.Status {
	sta, err := fle.Status(context.Background(), host)
	if err != nil {
		return server.Status{}
	}
	return sta
}

// waitAlive waits until each host has n hosts as alive in its view, itself
// included.
func (fle *fleet) waitAlive(n int) {
	fle.t.Helper()
	for _, host := range fle.Hosts {
		err := testkit.Poll(fle.t.Context(), settleBound, func() bool {
			alive := 1
			for _, peer := range fle.status(host).Peers {
				if peer.State == "Alive" {
					alive++
				}
			}
			return alive == n
		})
		require.NoError(fle.t, err, "host %s", host.ID)
	}
}

// waitRevision waits until the given hosts have at least the given revision in
// force.
func (fle *fleet) waitRevision(rev uint64, bound time.Duration, hosts ...*testkit.Process) {
	fle.t.Helper()
	for _, host := range hosts {
		err := testkit.Poll(fle.t.Context(), bound, func() bool { return fle.status(host).TablesRevision >= rev })
		require.NoError(fle.t, err, "host %s has revision %d", host.ID, fle.status(host).TablesRevision)
	}
}

func (fle *fleet) platformDown(down bool) {
	require.NoError(fle.t, fle.Fault(fle.t.Context(), fle.Platform, struct{ Down bool }{down}))
}

// tablesWithMark returns the sample tables, marked by a number that is the time
// limit of the first route in seconds.
func tablesWithMark(mark int) parser.Tables {
	tab := testkit.SampleTables()
	tab.Routes[0].TimeLimit = parser.Duration(time.Duration(mark) * time.Second)
	return tab
}

func markOf(tab parser.Tables) int { return int(time.Duration(tab.Routes[0].TimeLimit) / time.Second) }

// watchRevisions polls the revisions of all hosts and fails the test when a host
// reports a lower revision than before. The returned function stops the polling.
func (fle *fleet) watchRevisions() func() {
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, host := range fle.Hosts {
		wg.Go(func() {
			last := uint64(0)
			for ctx.Err() == nil {
				if sta, err := fle.Status(ctx, host); err == nil {
					if sta.TablesRevision < last {
						fle.t.Errorf("host %s went back from %d to %d", host.ID, last, sta.TablesRevision)
					}
					last = sta.TablesRevision
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() {
		stop()
		wg.Wait()
	}
}

func answerText(text string, tokens int64) string {
	var bui strings.Builder
	for i := range tokens {
		bui.WriteString(generator.TokenText("user: "+text+"\n", 0, i))
	}
	return bui.String()
}

// ask requests a streamed answer through a host and returns an error unless the
// answer is complete.
func ask(ctx context.Context, address, text string, tokens int64) error {
	tra := &http.Transport{DisableKeepAlives: true}
	cli := openai.NewClient(option.WithBaseURL("http://"+address+"/v1/"), option.WithAPIKey(testkit.Key),
		option.WithMaxRetries(0), option.WithHTTPClient(&http.Client{Transport: tra}))
	str := cli.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: testkit.Model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxCompletionTokens: openai.Int(tokens),
	})
	acc := openai.ChatCompletionAccumulator{}
	for str.Next() {
		acc.AddChunk(str.Current())
	}
	if err := str.Err(); err != nil {
		return err
	}
	if len(acc.Choices) == 0 || acc.Choices[0].Message.Content != answerText(text, tokens) {
		return fmt.Errorf("the answer of %s is not complete: %+v", address, acc.Choices)
	}
	return nil
}
