package journaler

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/standin/keeper"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
)

const (
	// targetCalls and targetCallsPerShard are the targets for all shards and for one, in
	// calls a second.
	targetCalls         = 6000
	targetCallsPerShard = (targetCalls + Shards - 1) / Shards
	loadDuration        = Retention + 3*MaxClockSkew
	tickInterval        = time.Second / WritesPerShard
	// callTicks is the duration of a call, in ticks.
	callTicks = 4
	// maxClaimWrites is the number of the store's writes a second that the claims of
	// all shards may use.
	maxClaimWrites = 256
	// At most 1/segmentWritesDivisor of the ticks may have no batch because segments
	// and heads used up the rate.
	segmentWritesDivisor = 8
	// maxTakeoverReads bounds the reads of a new writer.
	maxTakeoverReads = 160
)

// loader simulates calls on one shard with a simulated clock.
type loader struct {
	now   time.Time
	store *countingStore
	ticks int64
	// skippedTicks counts the ticks without a batch.
	skippedTicks int64
}

func (loa *loader) newWriter() *writer {
	wri := newWriter(&Journal{Store: loa.store, Clock: func() time.Time { return loa.now }}, 0)
	wri.limiter = rate.NewLimiter(rate.Inf, 1)
	return wri
}

// run starts calls at a rate and finishes them for loadDuration, after which claims are
// dropped as fast as new claims are made. It skips a tick if the rate limit of writes
// does not allow a batch.
func (loa *loader) run(t testing.TB, callsPerSecond int) *writer {
	wri := loa.newWriter()
	var pens []*pendingChange
	running := make([][]*messenger.ClaimCommit, callTicks)
	n := 0
	for ; loa.now.Before(epoch.Add(loadDuration)); loa.now = loa.now.Add(tickInterval) {
		loa.ticks++
		var started []*messenger.ClaimCommit
		for ; n*WritesPerShard < callsPerSecond*int(loa.ticks); n++ {
			commits := finishedClaim(n, 64)
			commits[0].KeyTimeMs = loa.now.UnixMilli()
			started = append(started, commits[1])
			pens = append(pens, &pendingChange{com: commits[0], deadline: time.Now().Add(time.Minute)})
		}
		for _, finish := range running[0] {
			pens = append(pens, &pendingChange{com: finish, deadline: time.Now().Add(time.Minute)})
		}
		running = append(running[1:], started)
		if loa.store.writes.Load() >= loa.ticks {
			loa.skippedTicks++
			continue
		}
		for i, res := range wri.commitBatch(pens) {
			// A claim must be COMMITTED.
			want := messenger.ClaimResult_STATE_COMMITTED + messenger.ClaimResult_State(pens[i].com.GetStep())
			require.Contains(t, []messenger.ClaimResult_State{want, messenger.ClaimResult_STATE_FINISHED}, res.GetState())
		}
		pens = nil
		wri.compact()
	}
	return wri
}

// TestFullLoad checks that one shard under its part of the target load for longer than
// the retention stays within its writes, that no value exceeds the store's limit, and
// that a new writer reads the log with few reads.
func TestFullLoad(t *testing.T) {
	loa := &loader{now: epoch, store: &countingStore{ObjectStore: faultlessStore{newLogSimulation(t)}}}
	wri := loa.run(t, targetCallsPerShard)
	sto := loa.store
	require.LessOrEqual(t, sto.writes.Load(), loa.ticks, "with this many writes, all shards exceed %d writes a second", maxClaimWrites)
	require.LessOrEqual(t, loa.skippedTicks*segmentWritesDivisor, loa.ticks)
	require.LessOrEqual(t, sto.maxValueBytes.Load(), int64(persister.MaxValueBytes))
	require.LessOrEqual(t, wri.log.lastSegment-wri.log.oldestNeeded(), uint64(segmentObjects))
	readsBefore := sto.reads.Load()
	successor := loa.newWriter()
	require.NoError(t, successor.log.load(t.Context()))
	require.LessOrEqual(t, sto.reads.Load()-readsBefore, int64(maxTakeoverReads))
	require.Equal(t, wri.log.shard.Len(), successor.log.shard.Len())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	successor.log.reset()
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf("claims %d, segments %d, writes %d in %d s, %d B written a call, most %d B, reads of a takeover %d, held %d B a claim",
		wri.log.shard.Len(), wri.log.lastSegment-wri.log.oldestNeeded()+1, sto.writes.Load(), loa.ticks/WritesPerShard,
		sto.bytes.Load()*WritesPerShard/loa.ticks/targetCallsPerShard, sto.maxValueBytes.Load(), sto.reads.Load()-readsBefore, (before.HeapAlloc-after.HeapAlloc)/uint64(wri.log.shard.Len()))
}

// BenchmarkTakeover measures how long a new writer takes to read a shard.
func BenchmarkTakeover(b *testing.B) {
	for _, calls := range []int{2, 15, 94} {
		b.Run(fmt.Sprintf("calls=%d", calls), func(b *testing.B) {
			kee := keeper.New(keeper.Settings{ReadRate: 1e6, WriteRate: 1e6, Delay: 2 * time.Millisecond})
			ser := httptest.NewServer(kee.Handler())
			defer ser.Close()
			loa := &loader{now: epoch, store: &countingStore{ObjectStore: &persister.Persister{BaseURL: ser.URL}}}
			count := loa.run(b, calls).log.shard.Len()
			readsBefore := loa.store.reads.Load()
			for b.Loop() {
				require.NoError(b, loa.newWriter().log.load(context.Background()))
			}
			b.ReportMetric(float64(count), "claims")
			b.ReportMetric(float64(loa.store.reads.Load()-readsBefore)/float64(b.N), "reads/op")
		})
	}
}
