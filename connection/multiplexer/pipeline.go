package multiplexer

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"

	"hemlockpin/connection/messenger"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

const (
	// maxPipelinedBytes bounds the messages that share a stream; a larger one
	// would hold the others up and gets a stream of its own.
	maxPipelinedBytes = 16 << 10
	// pipelineQueue is the number of frames that wait to be written.
	pipelineQueue = 256
	// maxWriteBytes bounds the frames that are written at once.
	maxWriteBytes = 64 << 10
	// maxPipelinedCalls bounds the calls that a host serves on one stream at a
	// time; more wait in the stream.
	maxPipelinedCalls = 4096
)

var errPipelineClosed = eris.New("multiplexer: the session of the call was closed")

// frames writes envelopes to a stream. Those that wait travel in one write.
type frames struct {
	stream io.WriteCloser
	queue  chan *messenger.Envelope
	closed chan struct{}
	once   sync.Once
}

func newFrames(str io.WriteCloser) *frames {
	fra := &frames{stream: str, queue: make(chan *messenger.Envelope, pipelineQueue), closed: make(chan struct{})}
	go fra.run()
	return fra
}

func (fra *frames) close() {
	fra.once.Do(func() {
		close(fra.closed)
		fra.stream.Close()
	})
}

// send queues an envelope. It ends with ctx.
func (fra *frames) send(ctx context.Context, env *messenger.Envelope) error {
	select {
	case fra.queue <- env:
		return nil
	case <-fra.closed:
		return errPipelineClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (fra *frames) run() {
	defer fra.close()
	var buf bytes.Buffer
	for {
		select {
		case env := <-fra.queue:
			buf.Reset()
			if fra.gather(&buf, env) != nil {
				return
			}
			if _, err := fra.stream.Write(buf.Bytes()); err != nil {
				return
			}
		case <-fra.closed:
			return
		}
	}
}

// gather puts an envelope and those that wait behind it into one buffer.
func (fra *frames) gather(buf *bytes.Buffer, env *messenger.Envelope) error {
	for {
		if err := messenger.Write(buf, env); err != nil {
			return err
		}
		if buf.Len() >= maxWriteBytes {
			return nil
		}
		select {
		case env = <-fra.queue:
		default:
			return nil
		}
	}
}

// pipeline carries the calls of one session on one stream, told apart by their
// numbers.
type pipeline struct {
	frames *frames

	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan *messenger.Envelope
	closed  bool
	// refusal is what the peer said when it refused the stream.
	refusal error
}

func newPipeline(str net.Conn) *pipeline {
	pip := &pipeline{frames: newFrames(str), waiting: map[uint64]chan *messenger.Envelope{}}
	go pip.read(str)
	return pip
}

// call sends an envelope and waits for its reply.
func (pip *pipeline) call(ctx context.Context, env *messenger.Envelope) (*messenger.Envelope, error) {
	num, rep, ok := pip.enter()
	if !ok {
		return nil, pip.reason()
	}
	defer pip.leave(num)
	if err := pip.frames.send(ctx, numbered(env, num)); err != nil {
		return nil, err
	}
	select {
	case env, ok = <-rep:
		if !ok {
			return nil, pip.reason()
		}
		return env, nil
	case <-ctx.Done():
		pip.cancel(num)
		return nil, ctx.Err()
	}
}

// numbered leaves the envelope itself alone, as it may go to several peers.
func numbered(env *messenger.Envelope, num uint64) *messenger.Envelope {
	return &messenger.Envelope{TraceParent: env.GetTraceParent(), Body: env.GetBody(), Call: num}
}

func (pip *pipeline) reason() error {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	if pip.refusal != nil {
		return pip.refusal
	}
	return errPipelineClosed
}

func (pip *pipeline) enter() (num uint64, rep chan *messenger.Envelope, ok bool) {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	if pip.closed {
		return 0, nil, false
	}
	pip.last++
	rep = make(chan *messenger.Envelope, 1)
	pip.waiting[pip.last] = rep
	return pip.last, rep, true
}

func (pip *pipeline) leave(num uint64) {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	delete(pip.waiting, num)
}

// cancel tells the peer that nobody waits for a reply any more. A stream that is
// full is left alone; the peer's call then ends by its own limits.
func (pip *pipeline) cancel(num uint64) {
	select {
	case pip.frames.queue <- &messenger.Envelope{Call: num, Body: &messenger.Envelope_CallEnd{CallEnd: &messenger.CallEnd{}}}:
	default:
	}
}

// read hands replies to their calls until the stream ends.
func (pip *pipeline) read(str io.Reader) {
	defer pip.close()
	for {
		env, err := messenger.Read(str)
		if err != nil {
			return
		}
		pip.deliver(env)
	}
}

// deliver drops replies that nobody waits for.
func (pip *pipeline) deliver(env *messenger.Envelope) {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	if fai := env.GetFailure(); fai != nil && env.GetCall() == 0 {
		pip.refusal = eris.Errorf("multiplexer: the stream was refused: %s: %s", fai.GetCode(), fai.GetMessage())
	}
	if rep := pip.waiting[env.GetCall()]; rep != nil {
		delete(pip.waiting, env.GetCall())
		rep <- env
	}
}

func (pip *pipeline) close() {
	pip.frames.close()
	pip.mu.Lock()
	defer pip.mu.Unlock()
	pip.closed = true
	for num, rep := range pip.waiting {
		close(rep)
		delete(pip.waiting, num)
	}
}

func fitsPipeline(env *messenger.Envelope) bool { return proto.Size(env) <= maxPipelinedBytes }

// served is the serving side of a pipeline.
type served struct {
	frames  *frames
	handler Handler
	slots   chan struct{}

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

// servePipeline answers the calls of a stream, the first of which has been read.
func servePipeline(str net.Conn, han Handler, env *messenger.Envelope) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ser := &served{frames: newFrames(str), handler: han, slots: make(chan struct{}, maxPipelinedCalls), cancels: map[uint64]context.CancelFunc{}}
	defer ser.frames.close()
	for {
		if env.GetCallEnd() != nil {
			ser.end(env.GetCall())
		} else {
			ser.begin(ctx, env)
		}
		var err error
		if env, err = messenger.Read(str); err != nil {
			return
		}
	}
}

func (ser *served) begin(ctx context.Context, env *messenger.Envelope) {
	ser.slots <- struct{}{}
	ctx, cancel := context.WithCancel(ctx)
	ser.mu.Lock()
	ser.cancels[env.GetCall()] = cancel
	ser.mu.Unlock()
	go func() {
		defer func() { <-ser.slots }()
		defer ser.end(env.GetCall())
		if rep := ser.handler(ctx, env); rep != nil {
			_ = ser.frames.send(ctx, numbered(rep, env.GetCall()))
		}
	}()
}

// end gives a call up, or forgets one that was answered.
func (ser *served) end(num uint64) {
	ser.mu.Lock()
	cancel := ser.cancels[num]
	delete(ser.cancels, num)
	ser.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
