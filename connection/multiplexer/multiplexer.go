// Package multiplexer sends calls between hosts over yamux sessions.
//
// The calls of a session share one stream, on which a reply has the number of its
// call; a call with a large envelope uses a separate stream.
package multiplexer

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"hemlockpin/connection/counter"
	"hemlockpin/connection/messenger"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
)

const (
	dialTimeout        = 500 * time.Millisecond
	streamCloseTimeout = 2 * time.Second
	// maxStreams bounds the streams that a peer keeps open in one session: the shared one and
	// those of large calls.
	maxStreams = 64
)

// Handler answers one call of a peer. The context ends when the peer cancels the
// call. If Handler returns nil, no reply is sent.
type Handler func(ctx context.Context, env *messenger.Envelope) *messenger.Envelope

// Multiplexer holds the sessions of one host. Its zero value can send calls;
// Serve needs a Handler.
type Multiplexer struct {
	Handler Handler
	// Traffic counts the bytes of all sessions.
	Traffic counter.Traffic
	// OnPanic is called with the envelope, the recovered value and the stack when
	// the handler panics; it may be nil. The peer gets a failure and the host
	// continues.
	OnPanic func(env *messenger.Envelope, cause any, stack []byte)
	// MaxAccepted bounds the sessions that peers open; 0 for no bound. Refused counts those
	// above it; nil for no count.
	MaxAccepted int64
	Refused     tally.Counter

	mu       sync.Mutex
	sessions map[string]*session
	accepted map[link]struct{}
	closed   bool
}

// session is a dialed link with its shared stream and its monitor.
type session struct {
	link
	monitor monitor

	mu   sync.Mutex
	pipe *pipeline
}

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	// Session.Ping waits for its reply for this long as well.
	cfg.ConnectionWriteTimeout = heartbeatTimeout
	// After this timeout yamux would close the session itself, before the connection
	// (see link.Close). The heartbeats of the calls in progress find a dead peer.
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// Call sends env to the host at address and waits for its reply. After a transport
// error or a timeout the next call dials again; calls in progress continue on the
// old session while the peer answers its heartbeats. A Failure reply is returned as
// an error and keeps the session in use.
func (mul *Multiplexer) Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error) {
	ses, err := mul.acquire(ctx, address)
	if err != nil {
		return nil, err
	}
	defer ses.monitor.endCall()
	rep, err := ses.call(ctx, env)
	if err != nil {
		if !isUnsendable(err) && (ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded)) {
			mul.retireSession(address, ses)
		}
		return nil, eris.Wrapf(err, "Multiplexer.Call: peer %s", address)
	}
	if fai := rep.GetFailure(); fai != nil {
		return nil, eris.Errorf("Multiplexer.Call: peer %s refused: %s: %s", address, fai.GetCode(), fai.GetMessage())
	}
	return rep, nil
}

func (ses *session) call(ctx context.Context, env *messenger.Envelope) (*messenger.Envelope, error) {
	if !fitsPipeline(env) {
		return ses.single(ctx, env)
	}
	pip, err := ses.pipeline()
	if err != nil {
		return nil, err
	}
	return pip.call(ctx, env)
}

// pipeline returns the shared stream, which it opens at the first call.
func (ses *session) pipeline() (*pipeline, error) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	if ses.pipe != nil {
		return ses.pipe, nil
	}
	str, err := ses.OpenStream()
	if err != nil {
		return nil, eris.Wrap(err, "session.pipeline: open stream")
	}
	ses.pipe = newPipeline(str)
	return ses.pipe, nil
}

// single sends a call on a separate stream.
func (ses *session) single(ctx context.Context, env *messenger.Envelope) (*messenger.Envelope, error) {
	str, err := ses.OpenStream()
	if err != nil {
		return nil, eris.Wrap(err, "session.single: open stream")
	}
	defer str.Close()
	stop := context.AfterFunc(ctx, func() { str.Close(); _ = str.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := messenger.Write(str, env); err != nil {
		return nil, eris.Wrap(err, "session.single: send")
	}
	rep, err := messenger.Read(str)
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	return rep, eris.Wrap(err, "session.single: reply")
}

// acquire returns a session and counts a call on it, so that the session is not
// closed as idle. The caller ends the call with monitor.endCall.
func (mul *Multiplexer) acquire(ctx context.Context, address string) (*session, error) {
	if ses := mul.reuse(address); ses != nil {
		return ses, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	con, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "Multiplexer.acquire: dial peer %s", address)
	}
	lin, err := newDialedLink(mul.Traffic.Wrap(con))
	if err != nil {
		con.Close()
		return nil, eris.Wrapf(err, "Multiplexer.acquire: peer %s", address)
	}
	return mul.keep(address, &session{link: lin})
}

// reuse returns the open session to address and counts a call on it; nil if there
// is none.
func (mul *Multiplexer) reuse(address string) *session {
	mul.mu.Lock()
	defer mul.mu.Unlock()
	ses := mul.sessions[address]
	if ses == nil || ses.IsClosed() {
		return nil
	}
	ses.monitor.beginCall()
	return ses
}

// keep stores ses and counts a call on it. If another call has stored an open
// session meanwhile, keep closes ses and returns the stored session.
func (mul *Multiplexer) keep(address string, ses *session) (*session, error) {
	mul.mu.Lock()
	defer mul.mu.Unlock()
	if mul.closed {
		ses.Close()
		return nil, eris.Errorf("Multiplexer.keep: closed while dialing peer %s", address)
	}
	if old := mul.sessions[address]; old != nil && !old.IsClosed() {
		ses.Close()
		old.monitor.beginCall()
		return old, nil
	}
	if mul.sessions == nil {
		mul.sessions = map[string]*session{}
	}
	ses.monitor.link = ses.link
	ses.monitor.retireIfIdle = func() bool { return mul.retireIfIdle(address, ses) }
	ses.monitor.beginCall()
	ses.monitor.watchIdle()
	mul.sessions[address] = ses
	go func() {
		<-ses.CloseChan()
		mul.retireSession(address, ses)
	}()
	return ses, nil
}

// retireIfIdle removes a session, so that later calls dial again, and returns true.
// If a call is in progress on the session, it returns false.
func (mul *Multiplexer) retireIfIdle(address string, ses *session) bool {
	mul.mu.Lock()
	defer mul.mu.Unlock()
	if ses.monitor.busy() {
		return false
	}
	mul.removeSession(address, ses)
	return true
}

// retireSession removes a session, so that later calls dial again. The calls in
// progress continue until they end or a heartbeat fails and closes the session.
func (mul *Multiplexer) retireSession(address string, ses *session) {
	mul.mu.Lock()
	defer mul.mu.Unlock()
	mul.removeSession(address, ses)
}

// removeSession removes ses if it is still the stored session. The caller holds the
// lock.
func (mul *Multiplexer) removeSession(address string, ses *session) {
	if mul.sessions[address] == ses {
		delete(mul.sessions, address)
	}
}

// Bytes returns the total number of bytes sent and received over all sessions.
func (mul *Multiplexer) Bytes() int64 {
	tot := mul.Traffic.Totals()
	return tot.Sent + tot.Received
}

// Sessions returns the number of sessions that this host has dialed and keeps.
func (mul *Multiplexer) Sessions() int {
	mul.mu.Lock()
	defer mul.mu.Unlock()
	return len(mul.sessions)
}

// Serve answers the calls of peers that connect to lis until it is closed.
func (mul *Multiplexer) Serve(lis net.Listener) error {
	for {
		con, err := lis.Accept()
		if err != nil {
			return eris.Wrap(err, "Multiplexer.Serve: accept")
		}
		go mul.serveConn(con)
	}
}

func (mul *Multiplexer) serveConn(con net.Conn) {
	lin, err := newAcceptedLink(mul.Traffic.Wrap(con))
	if err != nil {
		con.Close()
		return
	}
	defer lin.Close()
	if !mul.trackAccepted(lin) {
		return
	}
	defer mul.dropAccepted(lin)
	mon := &monitor{link: lin, maxIdle: acceptedIdleTimeout}
	mon.retireIfIdle = func() bool { return !mon.busy() }
	mon.watchIdle()
	streams := make(chan struct{}, maxStreams)
	for {
		str, err := lin.AcceptStream()
		if err != nil {
			return
		}
		select {
		case streams <- struct{}{}:
			go func() {
				defer func() { <-streams }()
				mul.serveStream(str, mon)
			}()
		default:
			_ = str.Close()
		}
	}
}

// trackAccepted keeps a session that a peer has opened. It returns false if there are too many.
func (mul *Multiplexer) trackAccepted(lin link) bool {
	mul.mu.Lock()
	defer mul.mu.Unlock()
	if mul.MaxAccepted > 0 && int64(len(mul.accepted)) >= mul.MaxAccepted {
		if mul.Refused != nil {
			mul.Refused.Inc(1)
		}
		return false
	}
	if mul.accepted == nil {
		mul.accepted = map[link]struct{}{}
	}
	mul.accepted[lin] = struct{}{}
	return true
}

func (mul *Multiplexer) dropAccepted(lin link) {
	mul.mu.Lock()
	defer mul.mu.Unlock()
	delete(mul.accepted, lin)
}

// Handle answers one call with the handler. It turns a panic of the handler into a
// failure reply, since a single message must not end the process.
func (mul *Multiplexer) Handle(ctx context.Context, env *messenger.Envelope) (rep *messenger.Envelope) {
	defer func() {
		if val := recover(); val != nil {
			if mul.OnPanic != nil {
				mul.OnPanic(env, val, debug.Stack())
			}
			rep = messenger.NewFailure("internal", "the host could not answer the message")
		}
	}()
	return mul.Handler(ctx, env)
}

// serveStream serves either the shared stream of a session or a stream with a single
// call: the first envelope of a shared stream has a call number, which is above 0.
func (mul *Multiplexer) serveStream(str *yamux.Stream, mon *monitor) {
	defer str.Close()
	env, err := messenger.Read(str)
	if err != nil {
		if eris.Is(err, messenger.ErrProtocolVersion) {
			_ = messenger.Write(str, messenger.NewFailure("protocol_version", err.Error()))
		}
		return
	}
	if env.GetCall() > 0 {
		servePipeline(str, mon.countCalls(mul.Handle), env)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// The peer sends nothing more on this stream, so the end of the read means
		// that it has closed the stream.
		var buf [1]byte
		_, _ = str.Read(buf[:])
		cancel()
	}()
	if rep := mon.countCalls(mul.Handle)(ctx, env); rep != nil {
		if err := messenger.Write(str, rep); isUnsendable(err) {
			_ = messenger.Write(str, messenger.NewFailure("unsendable_reply", err.Error()))
		}
	}
}

// Close closes the dialed and the accepted sessions. Calls in progress and calls that
// are still dialing fail.
func (mul *Multiplexer) Close() {
	mul.mu.Lock()
	defer mul.mu.Unlock()
	mul.closed = true
	for _, ses := range mul.sessions {
		ses.Close()
	}
	for lin := range mul.accepted {
		lin.Close()
	}
}
