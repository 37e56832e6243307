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

// pipe is an output that blocks until unblocked is closed.
type pipe struct {
	mu        sync.Mutex
	buf       bytes.Buffer
	unblocked chan struct{}
}

func (pip *pipe) Write(buf []byte) (int, error) {
	<-pip.unblocked
	pip.mu.Lock()
	defer pip.mu.Unlock()
	return pip.buf.Write(buf)
}

func (pip *pipe) text() string {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	return pip.buf.String()
}

func TestWrites(t *testing.T) {
	pip := &pipe{unblocked: make(chan struct{})}
	close(pip.unblocked)
	wri := New(pip, DefaultBufferBytes)
	log := zerolog.New(wri)
	log.Info().Msg("one")
	log.Warn().Msg("two")
	wri.Close()
	require.Equal(t, "{\"level\":\"info\",\"message\":\"one\"}\n{\"level\":\"warn\",\"message\":\"two\"}\n", pip.text())
}

// TestStuckReader logs while the output is blocked. Lines must be shed, ordinary ones
// first, and logging must not block.
func TestStuckReader(t *testing.T) {
	pip := &pipe{unblocked: make(chan struct{})}
	wri := New(pip, 4096)
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
	close(pip.unblocked)
	wri.Close()
	require.Equal(t, 10, strings.Count(pip.text(), "failure"))
	require.Contains(t, pip.text(), "ShedOrdinary")
}

func BenchmarkLine(b *testing.B) {
	wri := New(&discard{}, DefaultBufferBytes)
	log := zerolog.New(wri)
	for b.Loop() {
		log.Info().Str("RequestID", "9c41d07be2a35f68").Str("Endpoint", "i-7f3a91c2").Int("Sends", 1).Msg("send ended")
	}
	b.ReportMetric(float64(wri.Shed().Ordinary)/float64(b.N), "shed/op")
}

func BenchmarkShedLine(b *testing.B) {
	pip := &pipe{unblocked: make(chan struct{})}
	log := zerolog.New(New(pip, 16))
	for b.Loop() {
		log.Info().Str("RequestID", "9c41d07be2a35f68").Str("Endpoint", "i-7f3a91c2").Int("Sends", 1).Msg("send ended")
	}
	close(pip.unblocked)
}

type discard struct{}

func (*discard) Write(buf []byte) (int, error) { return len(buf), nil }
