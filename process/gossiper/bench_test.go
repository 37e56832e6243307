package gossiper

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hemlockpin/connection/messenger"

	"google.golang.org/protobuf/proto"
)

// fullRoster returns a roster with num live hosts in four regions.
func fullRoster(num int) *Roster {
	ros := &Roster{Self: Peer{ID: "self", Region: "region-0", State: StateAlive, Incarnation: 1}, Random: rand.New(rand.NewPCG(1, 2))}
	for i := range num {
		ros.Step(reported(Peer{
			ID: fmt.Sprintf("host-%d", i), Address: "10.0.0.1:8081", DataCenter: fmt.Sprintf("centre-%d", i%14),
			Region: fmt.Sprintf("region-%d", i%4), Incarnation: 1, State: StateAlive,
		}), epoch)
	}
	clear(ros.pending)
	return ros
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, ros *Roster)) {
	for _, num := range []int{20, 200, 920} {
		b.Run(fmt.Sprintf("%d hosts", num), func(b *testing.B) {
			b.ReportAllocs()
			run(b, fullRoster(num))
		})
	}
}

func BenchmarkTick(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, ros *Roster) {
		now := epoch
		for b.Loop() {
			now = now.Add(time.Second)
			ros.Step(Tick{}, now)
		}
	})
}

// BenchmarkExchange measures one probe with the largest number of updates.
func BenchmarkExchange(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, ros *Roster) {
		var size int
		for b.Loop() {
			for i := range maxUpdates {
				ros.queueUpdate(fmt.Sprintf("host-%d", i))
			}
			buf, _ := proto.Marshal(&messenger.Ping{From: ros.Self.Member(), Updates: membersOf(ros.NextUpdates("host-1"))})
			var pin messenger.Ping
			_ = proto.Unmarshal(buf, &pin)
			ros.Step(Received{From: Peer{ID: "host-1", Incarnation: 1, State: StateAlive}, Updates: peersOf(pin.GetUpdates())}, epoch)
			size = len(buf)
		}
		b.ReportMetric(float64(size), "bytes/message")
	})
}

func BenchmarkLive(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, ros *Roster) {
		for b.Loop() {
			_ = ros.Live()
		}
	})
}
