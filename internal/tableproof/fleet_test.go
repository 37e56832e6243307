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
	// inForceBound is how soon an accepted edit must be in force everywhere.
	inForceBound = 7 * time.Second
	// leavingBound is how soon a leaving endpoint must get no new work.
	leavingBound = 3 * time.Second
	// settleBound is how long a fleet may take to find itself again.
	settleBound = 30 * time.Second
)

// fleet is a fleet whose hosts reach the platform and each other over links.
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

// start starts a fleet. Each host is told the peer address of the first one.
func start(t *testing.T, pla testkit.Plan) *fleet {
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
	pla.HostArgsFor = func(ind int) []string {
		var args []string
		if more != nil {
			args = more(ind)
		}
		if ind == 0 || fle.Fleet == nil {
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
	fle.waitLive(len(fle.Hosts))
	return fle
}

func (fle *fleet) status(hos *testkit.Process) server.Status {
	sta, err := fle.Status(context.Background(), hos)
	if err != nil {
		return server.Status{}
	}
	return sta
}

// waitLive waits until each host holds num hosts alive, itself included.
func (fle *fleet) waitLive(num int) {
	fle.t.Helper()
	for _, hos := range fle.Hosts {
		err := testkit.Poll(fle.t.Context(), settleBound, func() bool {
			ali := 1
			for _, per := range fle.status(hos).Peers {
				if per.State == "Alive" {
					ali++
				}
			}
			return ali == num
		})
		require.NoError(fle.t, err, "host %s", hos.ID)
	}
}

// waitRevision waits until the hosts have a revision in force.
func (fle *fleet) waitRevision(rev uint64, bound time.Duration, hoss ...*testkit.Process) {
	fle.t.Helper()
	for _, hos := range hoss {
		err := testkit.Poll(fle.t.Context(), bound, func() bool { return fle.status(hos).TablesRevision >= rev })
		require.NoError(fle.t, err, "host %s has revision %d", hos.ID, fle.status(hos).TablesRevision)
	}
}

func (fle *fleet) platformDown(down bool) {
	require.NoError(fle.t, fle.Fault(fle.t.Context(), fle.Platform, struct{ Down bool }{down}))
}

// tables returns the sample tables with a time limit in seconds as a mark.
func tables(mark int) parser.Tables {
	tab := testkit.SampleTables()
	tab.Routes[0].TimeLimit = parser.Duration(time.Duration(mark) * time.Second)
	return tab
}

func markOf(tab parser.Tables) int { return int(time.Duration(tab.Routes[0].TimeLimit) / time.Second) }

// watchRevisions fails the test when a host shows a lower revision than before.
// The function returned ends the watching.
func (fle *fleet) watchRevisions() func() {
	ctx, stop := context.WithCancel(context.Background())
	var gro sync.WaitGroup
	for _, hos := range fle.Hosts {
		gro.Go(func() {
			last := uint64(0)
			for ctx.Err() == nil {
				if sta, err := fle.Status(ctx, hos); err == nil {
					if sta.TablesRevision < last {
						fle.t.Errorf("host %s went back from %d to %d", hos.ID, last, sta.TablesRevision)
					}
					last = sta.TablesRevision
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() {
		stop()
		gro.Wait()
	}
}

func answerText(text string, tokens int64) string {
	var bui strings.Builder
	for ind := range tokens {
		bui.WriteString(generator.TokenText("user: "+text+"\n", 0, ind))
	}
	return bui.String()
}

// ask streams one answer through a host and returns an error unless it is whole.
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
		return fmt.Errorf("the answer of %s is not whole: %+v", address, acc.Choices)
	}
	return nil
}
