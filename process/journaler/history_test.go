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
	// A small ring is overwritten many times in a history.
	historyRing  = 3
	commitBudget = 300 * time.Millisecond
)

// shakyStore keeps objects in memory and fails at random.
type shakyStore struct {
	mu      sync.Mutex
	rnd     *rand.Rand
	objects map[string]persister.Object
	version uint64
	late    sync.WaitGroup
}

func (sho *shakyStore) Get(_ context.Context, path string) (persister.Object, error) {
	sho.mu.Lock()
	defer sho.mu.Unlock()
	if sho.rnd.IntN(8) == 0 {
		return persister.Object{}, persister.ErrUnavailable
	}
	obj, ok := sho.objects[path]
	if !ok {
		return persister.Object{}, persister.ErrNotFound
	}
	return obj, nil
}

func (sho *shakyStore) Put(_ context.Context, obj persister.Object) (uint64, error) {
	sho.mu.Lock()
	defer sho.mu.Unlock()
	switch sho.rnd.IntN(8) {
	case 0:
		return 0, persister.ErrUnavailable
	case 1:
		_, _ = sho.put(obj)
		return 0, context.DeadlineExceeded
	case 2:
		pau := time.Duration(sho.rnd.IntN(60)) * time.Millisecond
		sho.late.Go(func() {
			time.Sleep(pau)
			sho.mu.Lock()
			defer sho.mu.Unlock()
			_, _ = sho.put(obj)
		})
		return 0, context.DeadlineExceeded
	case 3:
		return 0, persister.ErrRateLimited
	}
	return sho.put(obj)
}

func (sho *shakyStore) put(obj persister.Object) (uint64, error) {
	if sho.objects[obj.Path].Version != obj.Version {
		return 0, persister.ErrConflict
	}
	sho.version++
	obj.Version = sho.version
	sho.objects[obj.Path] = obj
	return obj.Version, nil
}

// shakyPeers calls other journals directly and loses calls and answers.
type shakyPeers struct {
	mu       sync.Mutex
	rnd      *rand.Rand
	journals map[string]*Journal
}

func (sho *shakyPeers) Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error) {
	sho.mu.Lock()
	num := sho.rnd.IntN(6)
	sho.mu.Unlock()
	if num == 0 {
		return nil, context.DeadlineExceeded
	}
	res := sho.journals[address].Write(ctx, env.GetClaimCommit())
	if num == 1 {
		return nil, context.DeadlineExceeded
	}
	return &messenger.Envelope{Body: &messenger.Envelope_ClaimResult{ClaimResult: res}}, nil
}

// Live lists every journal.
func (sho *shakyPeers) Live() []Member {
	var out []Member
	for id := range sho.journals {
		out = append(out, Member{ID: id, Address: id})
	}
	return out
}

// settle waits until no writer begins another write of its own.
func (sho *shakyPeers) settle() {
	for _, jou := range sho.journals {
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

// claimModel is the register of one key: free, held by a nonce or finished.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(his []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, ope := range his {
			key := ope.Input.(claimInput).key
			byKey[key] = append(byKey[key], ope)
		}
		var out [][]porcupine.Operation
		for _, opes := range byKey {
			out = append(out, opes)
		}
		return out
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		return stepClaim(state.(string), input.(claimInput), output.(messenger.ClaimResult_State))
	},
}

func stepClaim(sta string, inp claimInput, out messenger.ClaimResult_State) []any {
	held, finished := "held "+inp.nonce, "finished "+inp.nonce
	nex := sta
	switch {
	case inp.step == messenger.ClaimCommit_STEP_CLAIM && sta == "", inp.step == messenger.ClaimCommit_STEP_CLAIM && sta == held:
		nex = held
	case inp.step == messenger.ClaimCommit_STEP_FINISH && sta == held:
		nex = finished
	case inp.step == messenger.ClaimCommit_STEP_RELEASE && sta == held:
		nex = ""
	}
	legal := false
	switch out {
	case messenger.ClaimResult_STATE_UNKNOWN:
		return []any{sta, nex}
	case messenger.ClaimResult_STATE_NOT_COMMITTED:
		return []any{sta}
	case messenger.ClaimResult_STATE_COMMITTED:
		legal = nex == held
	case messenger.ClaimResult_STATE_HELD:
		legal = strings.HasPrefix(sta, "held") && sta != held
	case messenger.ClaimResult_STATE_FINISHED:
		legal = strings.HasPrefix(nex, "finished")
	case messenger.ClaimResult_STATE_RELEASED:
		legal = nex != held
	}
	if !legal {
		return nil
	}
	return []any{nex}
}

type history struct {
	mu   sync.Mutex
	beg  time.Time
	opes []porcupine.Operation
}

func (his *history) commit(jou *Journal, client int, inp claimInput) messenger.ClaimResult_State {
	beg := time.Since(his.beg).Nanoseconds()
	ctx, stop := context.WithTimeout(context.Background(), commitBudget)
	defer stop()
	out := jou.Commit(ctx, &messenger.ClaimCommit{Step: inp.step, Key: inp.key, Nonce: inp.nonce, Host: jou.Self.ID, BodyDigest: []byte("x"), KeyTimeMs: epoch.UnixMilli()}).GetState()
	end := time.Since(his.beg).Nanoseconds()
	if out == messenger.ClaimResult_STATE_UNKNOWN {
		// It may take effect at any later time.
		end = math.MaxInt64
	}
	his.mu.Lock()
	defer his.mu.Unlock()
	his.opes = append(his.opes, porcupine.Operation{ClientId: client, Input: inp, Output: out, Call: beg, Return: end})
	return out
}

// client makes calls that finish or give back what they claim.
func (his *history) client(jou *Journal, num int, rnd *rand.Rand) {
	for cal := range historyCalls {
		inp := claimInput{key: fmt.Sprintf("key%d", rnd.IntN(historyKeys)), nonce: fmt.Sprintf("n%d-%d", num, cal)}
		sta := his.commit(jou, num, inp)
		if sta != messenger.ClaimResult_STATE_COMMITTED && sta != messenger.ClaimResult_STATE_UNKNOWN {
			continue
		}
		inp.step = messenger.ClaimCommit_STEP_RELEASE
		if sta == messenger.ClaimResult_STATE_COMMITTED && rnd.IntN(6) == 0 {
			inp.step = messenger.ClaimCommit_STEP_FINISH
		}
		his.commit(jou, num, inp)
	}
}

// playHistory runs concurrent clients on several hosts over one shaky store.
func playHistory(seed uint64) []porcupine.Operation {
	sto := &shakyStore{rnd: rand.New(rand.NewPCG(seed, 1)), objects: map[string]persister.Object{}}
	pee := &shakyPeers{rnd: rand.New(rand.NewPCG(seed, 2)), journals: map[string]*Journal{}}
	for hos := range historyHosts {
		id := fmt.Sprintf("host-%d", hos)
		jou := &Journal{Store: sto, Self: Member{ID: id}, Peers: pee, Members: pee, Clock: func() time.Time { return epoch }, ring: historyRing}
		for ind := range jou.writers {
			jou.writers[ind] = newWriter(jou, uint32(ind))
			jou.writers[ind].limiter = rate.NewLimiter(rate.Inf, 1)
		}
		pee.journals[id] = jou
	}
	his := &history{beg: time.Now()}
	var gro sync.WaitGroup
	for num := range 2 * historyHosts {
		jou := pee.journals[fmt.Sprintf("host-%d", num%historyHosts)]
		gro.Go(func() { his.client(jou, num, rand.New(rand.NewPCG(seed, uint64(10+num)))) })
	}
	gro.Wait()
	pee.settle()
	sto.late.Wait()
	return his.opes
}

// TestHistories checks random concurrent histories for linearizability.
func TestHistories(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", historySeed))
	require.NoError(t, flag.Set("rapid.checks", historyChecks))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	t.Log("seed " + historySeed)
	mod := claimModel.ToModel()
	rapid.Check(t, func(rt *rapid.T) {
		opes := playHistory(rapid.Uint64().Draw(rt, "seed"))
		res := porcupine.CheckOperationsTimeout(mod, opes, 20*time.Second)
		require.NotEqual(rt, porcupine.Illegal, res)
		require.NotEqual(rt, porcupine.Unknown, res, "the check took too long")
	})
}
