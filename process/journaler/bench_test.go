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

// countingStore counts what is read and written. The most is that of one value.
type countingStore struct {
	ObjectStore
	reads, writes, bytes, most atomic.Int64
}

func (cou *countingStore) Get(ctx context.Context, path string) (persister.Object, error) {
	cou.reads.Add(1)
	return cou.ObjectStore.Get(ctx, path)
}

func (cou *countingStore) Put(ctx context.Context, obj persister.Object) (uint64, error) {
	cou.writes.Add(1)
	cou.bytes.Add(int64(len(obj.Value)))
	cou.most.Store(max(cou.most.Load(), int64(len(obj.Value))))
	return cou.ObjectStore.Put(ctx, obj)
}

// BenchmarkCommit compares one write for each claim with one write for all
// claims that wait.
func BenchmarkCommit(b *testing.B) {
	for _, bat := range []int{1, maxBatch} {
		b.Run(fmt.Sprintf("batch=%d", bat), func(b *testing.B) {
			sto := &countingStore{ObjectStore: benchStore(b)}
			jou := &Journal{Store: sto, batch: bat}
			if bat == 1 {
				// Without batches the store's rate is the only limit.
				for ind := range jou.writers {
					jou.writers[ind] = newWriter(jou, uint32(ind))
					jou.writers[ind].limiter = rate.NewLimiter(rate.Inf, 1)
				}
			}
			var num, done atomic.Int64
			b.SetParallelism(200)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					key := strconv.FormatInt(num.Add(1), 10)
					com := &messenger.ClaimCommit{Key: "team/" + key, BodyDigest: make([]byte, 16), Host: "host-000", Nonce: key, KeyTimeMs: time.Now().UnixMilli()}
					ctx, stop := context.WithTimeout(context.Background(), time.Minute)
					if jou.Commit(ctx, com).GetState() == messenger.ClaimResult_STATE_COMMITTED {
						done.Add(1)
					}
					stop()
				}
			})
			b.ReportMetric(float64(done.Load())/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(int64(b.N)-done.Load()), "failed")
			b.ReportMetric(float64(sto.bytes.Load())/float64(done.Load()), "written-B/claim")
			b.ReportMetric(float64(sto.writes.Load())/b.Elapsed().Seconds(), "writes/s")
		})
	}
}

// BenchmarkShard gives the cost of one commit of a writer at sizes of the shard,
// and the memory that a claim takes.
func BenchmarkShard(b *testing.B) {
	for _, cou := range []int{1000, 10_000, 70_000} {
		var bef, aft runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&bef)
		sha := clone(b, filled(b, cou))
		runtime.GC()
		runtime.ReadMemStats(&aft)
		val, err := segment{delta: Delta{claims: sha.claims}}.encode()
		require.NoError(b, err)
		one := &messenger.ClaimCommit{Key: "team/new", BodyDigest: make([]byte, 16), Nonce: "n", KeyTimeMs: epoch.UnixMilli()}
		del, _, _ := sha.Evaluate([]*messenger.ClaimCommit{one}, epoch)
		works := []struct {
			name string
			fun  func()
		}{
			{"apply", func() { sha.Evaluate([]*messenger.ClaimCommit{one}, epoch) }},
			{"entry", func() { _, _ = entry{1, del}.encode() }},
			{"take", func() { sha.take(del) }},
			{"load", func() { clone(b, sha) }},
		}
		for _, wor := range works {
			b.Run(fmt.Sprintf("claims=%d/%s", cou, wor.name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					wor.fun()
				}
				b.ReportMetric(float64(len(val))/float64(cou), "stored-B/claim")
				b.ReportMetric(float64(aft.HeapAlloc-bef.HeapAlloc)/float64(cou), "held-B/claim")
			})
		}
	}
}

func BenchmarkWriters(b *testing.B) {
	var liv []Member
	for num := range 920 {
		liv = append(liv, Member{ID: fmt.Sprintf("host-%03d", num)})
	}
	b.ReportAllocs()
	for b.Loop() {
		Writers(7, liv, liv[40])
	}
}
