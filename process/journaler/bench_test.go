package journaler

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"hemlockpin/connection/messenger"
	"hemlockpin/connection/persister"
	"hemlockpin/standin/keeper"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
)

func benchStore(b *testing.B) *persister.Persister {
	kee := keeper.New(keeper.Settings{ReadRate: 2000, WriteRate: 300, Delay: 2 * time.Millisecond})
	ser := httptest.NewServer(kee.Handler())
	b.Cleanup(ser.Close)
	return &persister.Persister{BaseURL: ser.URL}
}

// countingStore counts reads, writes and written bytes, and records the largest value.
type countingStore struct {
	ObjectStore
	reads, writes, bytes, maxValueBytes atomic.Int64
}

func (cst *countingStore) Get(ctx context.Context, path string) (persister.Object, error) {
	cst.reads.Add(1)
	return cst.ObjectStore.Get(ctx, path)
}

func (cst *countingStore) Put(ctx context.Context, obj persister.Object) (uint64, error) {
	cst.writes.Add(1)
	cst.bytes.Add(int64(len(obj.Value)))
	cst.maxValueBytes.Store(max(cst.maxValueBytes.Load(), int64(len(obj.Value))))
	return cst.ObjectStore.Put(ctx, obj)
}

// BenchmarkCommit compares one write for each claim with one write for all waiting
// claims.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{1, maxBatchChanges} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			sto := &countingStore{ObjectStore: benchStore(b)}
			jou := &Journal{Store: sto, batchLimit: batch}
			if batch == 1 {
				// Without batches the store's rate is the only limit.
				for i := range jou.writers {
					jou.writers[i] = newWriter(jou, uint32(i))
					jou.writers[i].limiter = rate.NewLimiter(rate.Inf, 1)
				}
			}
			var n, committed atomic.Int64
			b.SetParallelism(200)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					key := strconv.FormatInt(n.Add(1), 10)
					com := &messenger.ClaimCommit{Key: "team/" + key, BodyDigest: make([]byte, 16), Host: "host-000", Nonce: key, KeyTimeMs: time.Now().UnixMilli()}
					ctx, stop := context.WithTimeout(context.Background(), time.Minute)
					if jou.Commit(ctx, com).GetState() == messenger.ClaimResult_STATE_COMMITTED {
						committed.Add(1)
					}
					stop()
				}
			})
			b.ReportMetric(float64(committed.Load())/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(int64(b.N)-committed.Load()), "failed")
			b.ReportMetric(float64(sto.bytes.Load())/float64(committed.Load()), "written-B/claim")
			b.ReportMetric(float64(sto.writes.Load())/b.Elapsed().Seconds(), "writes/s")
		})
	}
}

// BenchmarkShard measures a writer's operations on shards of several sizes, and the
// memory of a claim.
func BenchmarkShard(b *testing.B) {
	for _, count := range []int{1000, 10_000, 70_000} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		sha := clone(b, shardWithFinished(b, count))
		runtime.GC()
		runtime.ReadMemStats(&after)
		value, err := segment{delta: Delta{claims: sha.claims}}.encode()
		require.NoError(b, err)
		com := &messenger.ClaimCommit{Key: "team/new", BodyDigest: make([]byte, 16), Nonce: "n", KeyTimeMs: epoch.UnixMilli()}
		del, _, _ := sha.Evaluate([]*messenger.ClaimCommit{com}, epoch)
		cases := []struct {
			name string
			run  func()
		}{
			{"apply", func() { sha.Evaluate([]*messenger.ClaimCommit{com}, epoch) }},
			{"entry", func() { _, _ = entry{1, del}.encode() }},
			{"take", func() { sha.apply(del) }},
			{"load", func() { clone(b, sha) }},
		}
		for _, tc := range cases {
			b.Run(fmt.Sprintf("claims=%d/%s", count, tc.name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					tc.run()
				}
				b.ReportMetric(float64(len(value))/float64(count), "stored-B/claim")
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "held-B/claim")
			})
		}
	}
}

func BenchmarkWriters(b *testing.B) {
	var live []Member
	for n := range 920 {
		live = append(live, Member{ID: fmt.Sprintf("host-%03d", n)})
	}
	b.ReportAllocs()
	for b.Loop() {
		WriterHosts(7, live, live[40])
	}
}
