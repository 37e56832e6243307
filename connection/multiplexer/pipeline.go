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
	// maxPipelinedBytes bounds the size of an envelope on the shared stream; a
	// larger envelope would delay the other envelopes and is sent on a separate stream.
	maxPipelinedBytes = 16 << 10
	// maxQueuedFrames bounds the frames that wait to be written to a stream.
	maxQueuedFrames = 256
	// fullBatchBytes is the size from which a batch of frames is written without
	// adding further frames.
	fullBatchBytes = 64 << 10
	// maxPipelinedCalls bounds the calls that a host serves concurrently on one
	// stream; further calls stay unread in the stream.
	maxPipelinedCalls = 4096
)

var errPipelineClosed = eris.New("multiplexer: the session of the call was closed")

// frameWriter writes envelopes to a stream. Frames that wait in the queue are combined
// into one write.
type frameWriter struct {
	stream io.WriteCloser
	queue  chan []byte
	closed chan struct{}
	once   sync.Once
}

func newFrameWriter(str io.WriteCloser) *frameWriter {
	fra := &frameWriter{stream: str, queue: make(chan []byte, maxQueuedFrames), closed: make(chan struct{})}
	go fra.run()
	return fra
}

func (fra *frameWriter) close() {
	fra.once.Do(func() {
		close(fra.closed)
		fra.stream.Close()
	})
}

// send encodes an envelope and queues it. It waits for room in the queue until ctx ends.
func (fra *frameWriter) send(ctx context.Context, env *messenger.Envelope) error {
	var buf bytes.Buffer
	if err := messenger.Write(&buf, env); err != nil {
		return err
	}
	select {
	case fra.queue <- buf.Bytes():
		return nil
	case <-fra.closed:
		return errPipelineClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (fra *frameWriter) run() {
	defer fra.close()
	var buf bytes.Buffer
	for {
		select {
		case frame := <-fra.queue:
			buf.Reset()
			fra.batch(&buf, frame)
			if _, err := fra.stream.Write(buf.Bytes()); err != nil {
				return
			}
		case <-fra.closed:
			return
		}
	}
}

// batch writes a frame and the queued frames after it to a buffer, until the buffer has
// fullBatchBytes.
func (fra *frameWriter) batch(buf *bytes.Buffer, frame []byte) {
	for {
		buf.Write(frame)
		if buf.Len() >= fullBatchBytes {
			return
		}
		select {
		case frame = <-fra.queue:
		default:
			return
		}
	}
}

// pipeline sends the calls of one session on one stream. A reply has the number of
// its call.
type pipeline struct {
	writer *frameWriter

	mu       sync.Mutex
	lastCall uint64
	replies  map[uint64]chan *messenger.Envelope
	closed   bool
	// refusal is the failure with which the peer refused the stream; nil for none.
	refusal error
}

func newPipeline(str net.Conn) *pipeline {
	pip := &pipeline{writer: newFrameWriter(str), replies: map[uint64]chan *messenger.Envelope{}}
	go pip.read(str)
	return pip
}

// call sends an envelope and waits for its reply.
func (pip *pipeline) call(ctx context.Context, env *messenger.Envelope) (*messenger.Envelope, error) {
	number, reply, ok := pip.register()
	if !ok {
		return nil, pip.closeError()
	}
	defer pip.unregister(number)
	if err := pip.writer.send(ctx, withCall(env, number)); err != nil {
		return nil, err
	}
	select {
	case env, ok = <-reply:
		if !ok {
			return nil, pip.closeError()
		}
		return env, nil
	case <-ctx.Done():
		pip.cancel(number)
		return nil, ctx.Err()
	}
}

// withCall returns a copy of an envelope with a call number. The envelope itself is
// not changed, since it may be sent to several peers.
func withCall(env *messenger.Envelope, number uint64) *messenger.Envelope {
	return &messenger.Envelope{TraceParent: env.GetTraceParent(), Body: env.GetBody(), Call: number}
}

func (pip *pipeline) closeError() error {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	if pip.refusal != nil {
		return pip.refusal
	}
	return errPipelineClosed
}

func (pip *pipeline) register() (number uint64, reply chan *messenger.Envelope, ok bool) {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	if pip.closed {
		return 0, nil, false
	}
	pip.lastCall++
	reply = make(chan *messenger.Envelope, 1)
	pip.replies[pip.lastCall] = reply
	return pip.lastCall, reply, true
}

func (pip *pipeline) unregister(number uint64) {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	delete(pip.replies, number)
}

// cancel notifies the peer that the call is cancelled. If the queue is full, no
// notification is sent, and the call continues at the peer until the handler's own
// timeout ends it.
func (pip *pipeline) cancel(number uint64) {
	var buf bytes.Buffer
	if messenger.Write(&buf, &messenger.Envelope{Call: number, Body: &messenger.Envelope_CallEnd{CallEnd: &messenger.CallEnd{}}}) != nil {
		return
	}
	select {
	case pip.writer.queue <- buf.Bytes():
	default:
	}
}

// read delivers replies to their calls until the stream ends.
func (pip *pipeline) read(str io.Reader) {
	defer pip.close()
	for {
		// The call of a malformed reply, whose number is unknown, ends with its timeout.
		env, err := readWellFormed(str)
		if err != nil {
			return
		}
		pip.deliver(env)
	}
}

// deliver passes a reply to its call and drops it if the call has ended. A failure
// without a call number refuses the whole stream.
func (pip *pipeline) deliver(env *messenger.Envelope) {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	if fai := env.GetFailure(); fai != nil && env.GetCall() == 0 {
		pip.refusal = eris.Errorf("multiplexer: the stream was refused: %s: %s", fai.GetCode(), fai.GetMessage())
	}
	if reply := pip.replies[env.GetCall()]; reply != nil {
		delete(pip.replies, env.GetCall())
		reply <- env
	}
}

func (pip *pipeline) close() {
	pip.writer.close()
	pip.mu.Lock()
	defer pip.mu.Unlock()
	pip.closed = true
	for number, reply := range pip.replies {
		close(reply)
		delete(pip.replies, number)
	}
}

func fitsPipeline(env *messenger.Envelope) bool { return proto.Size(env) <= maxPipelinedBytes }

// pipelineServer is the serving side of a pipeline.
type pipelineServer struct {
	writer  *frameWriter
	handler Handler
	slots   chan struct{}

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

// servePipeline answers the calls of a stream. env is the first envelope, which has
// already been read.
func servePipeline(str net.Conn, han Handler, env *messenger.Envelope) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ser := &pipelineServer{writer: newFrameWriter(str), handler: han, slots: make(chan struct{}, maxPipelinedCalls), cancels: map[uint64]context.CancelFunc{}}
	defer ser.writer.close()
	for {
		if env.GetCallEnd() != nil {
			ser.cancelCall(env.GetCall())
		} else {
			ser.serveCall(ctx, env)
		}
		var err error
		if env, err = readWellFormed(str); err != nil {
			return
		}
	}
}

// isUnsendable reports whether an envelope could not be sent because of what it holds.
func isUnsendable(err error) bool {
	return eris.Is(err, messenger.ErrMalformed) || eris.Is(err, messenger.ErrFrameTooLarge)
}

// readWellFormed reads the next envelope and skips those that can't be decoded.
func readWellFormed(reader io.Reader) (*messenger.Envelope, error) {
	for {
		env, err := messenger.Read(reader)
		if !eris.Is(err, messenger.ErrMalformed) {
			return env, err
		}
	}
}

// serveCall waits for a free slot and then runs the handler in a goroutine. While it
// waits, no further envelope is read from the stream.
func (ser *pipelineServer) serveCall(ctx context.Context, env *messenger.Envelope) {
	ser.slots <- struct{}{}
	ctx, cancel := context.WithCancel(ctx)
	ser.mu.Lock()
	ser.cancels[env.GetCall()] = cancel
	ser.mu.Unlock()
	go func() {
		defer func() { <-ser.slots }()
		defer ser.cancelCall(env.GetCall())
		rep := ser.handler(ctx, env)
		if rep == nil {
			return
		}
		if err := ser.writer.send(ctx, withCall(rep, env.GetCall())); isUnsendable(err) {
			_ = ser.writer.send(ctx, withCall(messenger.NewFailure("unsendable_reply", err.Error()), env.GetCall()))
		}
	}()
}

// cancelCall cancels the context of a call and removes its entry. The call may have
// been answered already.
func (ser *pipelineServer) cancelCall(number uint64) {
	ser.mu.Lock()
	cancel := ser.cancels[number]
	delete(ser.cancels, number)
	ser.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
