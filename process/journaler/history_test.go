package journaler

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"
)

const (
	historySeed   = "20261204"
	historyChecks = "25"
	historyHosts  = 3
	historyCalls  = 6
	historyKeys   = 2
	// A small ring is overwritten many times during one history.
	historyRingSize = 3
	commitBudget    = 300 * time.Millisecond
)

// faultyStore keeps objects in memory and at random refuses, loses, delays or does not
// confirm writes.
type faultyStore struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	objects map[string]persister.Object
	version uint64
	delayed sync.WaitGroup
}

func (sto *faultyStore) Get(_ context.Context, path string) (persister.Object, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if sto.rnd.IntN(8) == 0 {
		return persister.Object{}, persister.ErrUnavailable
	}
	obj, ok := sto.objects[path]
	if !ok {
		return persister.Object{}, persister.ErrNotFound
	}
	return obj, nil
}

func (sto *faultyStore) Put(_ context.Context, obj persister.Object) (uint64, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	switch sto.rnd.IntN(8) {
	case 0:
		return 0, persister.ErrUnavailable
	case 1:
		_, _ = sto.put(obj)
		return 0, context.DeadlineExceeded
	case 2:
		pause := time.Duration(sto.rnd.IntN(60)) * time.Millisecond
		sto.delayed.Go(func() {
			time.Sleep(pause)
			sto.mu.Lock()
			defer sto.mu.Unlock()
			_, _ = sto.put(obj)
		})
		return 0, context.DeadlineExceeded
	case 3:
		return 0, persister.ErrRateLimited
	}
	return sto.put(obj)
}

func (sto *faultyStore) put(obj persister.Object) (uint64, error) {
	if sto.objects[obj.Path].Version != obj.Version {
		return 0, persister.ErrConflict
	}
	sto.version++
	obj.Version = sto.version
	sto.objects[obj.Path] = obj
	return obj.Version, nil
}

// faultyPeers calls the journals of other hosts directly, and loses some calls and some
// answers.
type faultyPeers struct {
	mu       sync.Mutex
	rnd      *rand.Rand
	journals map[string]*Journal
}

func (pee *faultyPeers) Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error) {
	pee.mu.Lock()
	n := pee.rnd.IntN(6)
	pee.mu.Unlock()
	if n == 0 {
		return nil, context.DeadlineExceeded
	}
	res := pee.journals[address].Write(ctx, env.GetClaimCommit())
	if n == 1 {
		return nil, context.DeadlineExceeded
	}
	return &messenger.Envelope{Body: &messenger.Envelope_ClaimResult{ClaimResult: res}}, nil
}

// Live returns all hosts.
func (pee *faultyPeers) Live() []Member {
	var out []Member
	for id := range pee.journals {
		out = append(out, Member{ID: id, Address: id})
	}
	return out
}

// waitForWriters waits until no writer runs.
func (pee *faultyPeers) waitForWriters() {
	for _, jou := range pee.journals {
		for _, wri := range jou.writers {
			for wri.isRunning() {
				time.Sleep(time.Millisecond)
			}
		}
	}
}

func (wri *writer) isRunning() bool {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	return wri.running
}

type claimInput struct {
	key   string
	step  messenger.ClaimCommit_Step
	nonce string
}

// claimModel models one key as a register: free, held by a nonce, or finished.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(his []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, ope := range his {
			key := ope.Input.(claimInput).key
			byKey[key] = append(byKey[key], ope)
		}
		var out [][]porcupine.Operation
		for _, operations := range byKey {
			out = append(out, operations)
		}
		return out
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		return stepClaim(state.(string), input.(claimInput), output.(messenger.ClaimResult_State))
	},
}

func stepClaim(state string, input claimInput, output messenger.ClaimResult_State) []any {
	held, finished := "held "+input.nonce, "finished "+input.nonce
	next := state
	switch {
	case input.step == messenger.ClaimCommit_STEP_CLAIM && state == "", input.step == messenger.ClaimCommit_STEP_CLAIM && state == held:
		next = held
	case input.step == messenger.ClaimCommit_STEP_FINISH && state == held:
		next = finished
	case input.step == messenger.ClaimCommit_STEP_RELEASE && state == held:
		next = ""
	}
	legal := false
	switch output {
	case messenger.ClaimResult_STATE_UNKNOWN:
		return []any{state, next}
	case messenger.ClaimResult_STATE_NOT_COMMITTED:
		return []any{state}
	case messenger.ClaimResult_STATE_COMMITTED:
		legal = next == held
	case messenger.ClaimResult_STATE_HELD:
		legal = strings.HasPrefix(state, "held") && state != held
	case messenger.ClaimResult_STATE_FINISHED:
		legal = strings.HasPrefix(next, "finished")
	case messenger.ClaimResult_STATE_RELEASED:
		legal = next != held
	}
	if !legal {
		return nil
	}
	return []any{next}
}

type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

func (his *history) commit(jou *Journal, clientID int, input claimInput) messenger.ClaimResult_State {
	start := time.Since(his.start).Nanoseconds()
	ctx, stop := context.WithTimeout(context.Background(), commitBudget)
	defer stop()
	output := jou.Commit(ctx, &messenger.ClaimCommit{Step: input.step, Key: input.key, Nonce: input.nonce, Host: jou.Self.ID, BodyDigest: []byte("x"), KeyTimeMs: epoch.UnixMilli()}).GetState()
	end := time.Since(his.start).Nanoseconds()
	if output == messenger.ClaimResult_STATE_UNKNOWN {
		// The change may take effect at any later time.
		end = math.MaxInt64
	}
	his.mu.Lock()
	defer his.mu.Unlock()
	his.operations = append(his.operations, porcupine.Operation{ClientId: clientID, Input: input, Output: output, Call: start, Return: end})
	return output
}

// runClient claims keys and finishes or releases its claims.
func (his *history) runClient(jou *Journal, clientID int, rnd *rand.Rand) {
	for call := range historyCalls {
		input := claimInput{key: fmt.Sprintf("key%d", rnd.IntN(historyKeys)), nonce: fmt.Sprintf("n%d-%d", clientID, call)}
		sta := his.commit(jou, clientID, input)
		if sta != messenger.ClaimResult_STATE_COMMITTED && sta != messenger.ClaimResult_STATE_UNKNOWN {
			continue
		}
		input.step = messenger.ClaimCommit_STEP_RELEASE
		if sta == messenger.ClaimResult_STATE_COMMITTED && rnd.IntN(6) == 0 {
			input.step = messenger.ClaimCommit_STEP_FINISH
		}
		his.commit(jou, clientID, input)
	}
}

// runHistory runs concurrent clients on several hosts that share a faulty store.
func runHistory(seed uint64) []porcupine.Operation {
	sto := &faultyStore{rnd: rand.New(rand.NewPCG(seed, 1)), objects: map[string]persister.Object{}}
	pee := &faultyPeers{rnd: rand.New(rand.NewPCG(seed, 2)), journals: map[string]*Journal{}}
	for host := range historyHosts {
		id := fmt.Sprintf("host-%d", host)
		jou := &Journal{Store: sto, Self: Member{ID: id}, Peers: pee, Members: pee, Clock: func() time.Time { return epoch }, ringSize: historyRingSize}
		for i := range jou.writers {
			jou.writers[i] = newWriter(jou, uint32(i))
			jou.writers[i].limiter = rate.NewLimiter(rate.Inf, 1)
		}
		pee.journals[id] = jou
	}
	his := &history{start: time.Now()}
	var wg sync.WaitGroup
	for clientID := range 2 * historyHosts {
		jou := pee.journals[fmt.Sprintf("host-%d", clientID%historyHosts)]
		wg.Go(func() { his.runClient(jou, clientID, rand.New(rand.NewPCG(seed, uint64(10+clientID)))) })
	}
	wg.Wait()
	pee.waitForWriters()
	sto.delayed.Wait()
	return his.operations
}

// TestHistoriesAreLinearizable checks random concurrent histories. Two hosts must never
// hold the claim of a key at the same time, even if the store and forwards fail.
func TestHistoriesAreLinearizable(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", historySeed))
	require.NoError(t, flag.Set("rapid.checks", historyChecks))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	t.Log("seed " + historySeed)
	mod := claimModel.ToModel()
	rapid.Check(t, func(rt *rapid.T) {
		operations := runHistory(rapid.Uint64().Draw(rt, "seed"))
		res := porcupine.CheckOperationsTimeout(mod, operations, 20*time.Second)
		require.NotEqual(rt, porcupine.Illegal, res)
		require.NotEqual(rt, porcupine.Unknown, res, "the check took too long")
	})
}
