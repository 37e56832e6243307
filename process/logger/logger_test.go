package logger

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// blockingOutput is an output that blocks until unblocked is closed.
type blockingOutput struct {
	mu        sync.Mutex
	buf       bytes.Buffer
	unblocked chan struct{}
}

func (out *blockingOutput) Write(buf []byte) (int, error) {
	<-out.unblocked
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.buf.Write(buf)
}

func (out *blockingOutput) text() string {
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.buf.String()
}

// TestWritesLinesInOrder logs two lines. Close must write the buffered lines in their order.
func TestWritesLinesInOrder(t *testing.T) {
	out := &blockingOutput{unblocked: make(chan struct{})}
	close(out.unblocked)
	wri := New(out, DefaultBufferBytes)
	log := zerolog.New(wri)
	log.Info().Msg("one")
	log.Warn().Msg("two")
	wri.Close()
	require.Equal(t, "{\"level\":\"info\",\"message\":\"one\"}\n{\"level\":\"warn\",\"message\":\"two\"}\n", out.text())
}

// TestBlockedOutput logs while the output is blocked. Lines must be dropped, ordinary lines
// first, and logging must not block.
func TestBlockedOutput(t *testing.T) {
	out := &blockingOutput{unblocked: make(chan struct{})}
	wri := New(out, 4096)
	log := zerolog.New(wri)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 1000 {
			log.Info().Msg("ordinary")
		}
		for range 10 {
			log.Error().Msg("failure")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		require.Fail(t, "logging has blocked")
	}
	require.Positive(t, wri.Shed().Ordinary)
	require.Zero(t, wri.Shed().Important)
	close(out.unblocked)
	wri.Close()
	require.Equal(t, 10, strings.Count(out.text(), "failure"))
	require.Contains(t, out.text(), "ShedOrdinary")
}

func BenchmarkBufferLine(b *testing.B) {
	wri := New(&discard{}, DefaultBufferBytes)
	log := zerolog.New(wri)
	for b.Loop() {
		log.Info().Str("RequestID", "9c41d07be2a35f68").Str("Endpoint", "i-7f3a91c2").Int("Sends", 1).Msg("send ended")
	}
	b.ReportMetric(float64(wri.Shed().Ordinary)/float64(b.N), "shed/op")
}

func BenchmarkShedLine(b *testing.B) {
	out := &blockingOutput{unblocked: make(chan struct{})}
	log := zerolog.New(New(out, 16))
	for b.Loop() {
		log.Info().Str("RequestID", "9c41d07be2a35f68").Str("Endpoint", "i-7f3a91c2").Int("Sends", 1).Msg("send ended")
	}
	close(out.unblocked)
}

type discard struct{}

func (*discard) Write(buf []byte) (int, error) { return len(buf), nil }
