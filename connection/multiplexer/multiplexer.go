// Package multiplexer carries calls between entry hosts over yamux sessions.
//
// Each call is one stream: the caller sends an envelope and reads one back.
package multiplexer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hemlockpin/connection/messenger"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
)

const (
	dialTimeout       = 500 * time.Millisecond
	keepAliveInterval = time.Second
	writeTimeout      = 2 * time.Second
	streamOpenTimeout = 2 * time.Second
)

// Handler answers one call of a peer. The context ends when the peer gives the
// call up.
type Handler func(ctx context.Context, env *messenger.Envelope) *messenger.Envelope

// Multiplexer holds the sessions of one host. Its zero value can place calls;
// Serve needs a Handler.
type Multiplexer struct {
	Handler Handler

	bytes    atomic.Int64
	mu       sync.Mutex
	sessions map[string]*yamux.Session
	accepted map[*yamux.Session]struct{}
}

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = streamOpenTimeout
	cfg.StreamCloseTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// Call sends env to the host at address and waits for its reply.
// A session on which a call timed out is closed, so that the next call dials.
func (mul *Multiplexer) Call(ctx context.Context, address string, env *messenger.Envelope) (*messenger.Envelope, error) {
	ses, err := mul.session(ctx, address)
	if err != nil {
		return nil, err
	}
	str, err := ses.OpenStream()
	if err != nil {
		mul.drop(address, ses)
		return nil, eris.Wrapf(err, "Multiplexer.Call: open stream to peer %s", address)
	}
	defer str.Close()
	stop := context.AfterFunc(ctx, func() { str.Close(); _ = str.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := messenger.Write(str, env); err != nil {
		mul.drop(address, ses)
		return nil, eris.Wrapf(err, "Multiplexer.Call: send to peer %s", address)
	}
	rep, err := messenger.Read(str)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			mul.drop(address, ses)
		}
		return nil, eris.Wrapf(err, "Multiplexer.Call: reply of peer %s", address)
	}
	if fai := rep.GetFailure(); fai != nil {
		return nil, eris.Errorf("Multiplexer.Call: peer %s refused: %s: %s", address, fai.GetCode(), fai.GetMessage())
	}
	return rep, nil
}

func (mul *Multiplexer) session(ctx context.Context, address string) (*yamux.Session, error) {
	mul.mu.Lock()
	ses := mul.sessions[address]
	mul.mu.Unlock()
	if ses != nil && !ses.IsClosed() {
		return ses, nil
	}
	dia := net.Dialer{Timeout: dialTimeout}
	con, err := dia.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "Multiplexer.session: dial peer %s", address)
	}
	ses, err = yamux.Client(countedConn{con, &mul.bytes}, sessionConfig())
	if err != nil {
		con.Close()
		return nil, eris.Wrapf(err, "Multiplexer.session: open session to peer %s", address)
	}
	return mul.keep(address, ses), nil
}

// keep stores ses unless another call stored a live session first.
func (mul *Multiplexer) keep(address string, ses *yamux.Session) *yamux.Session {
	mul.mu.Lock()
	defer mul.mu.Unlock()
	if old := mul.sessions[address]; old != nil && !old.IsClosed() {
		ses.Close()
		return old
	}
	if mul.sessions == nil {
		mul.sessions = map[string]*yamux.Session{}
	}
	mul.sessions[address] = ses
	return ses
}

func (mul *Multiplexer) drop(address string, ses *yamux.Session) {
	ses.Close()
	mul.mu.Lock()
	defer mul.mu.Unlock()
	if mul.sessions[address] == ses {
		delete(mul.sessions, address)
	}
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
	ses, err := yamux.Server(countedConn{con, &mul.bytes}, sessionConfig())
	if err != nil {
		con.Close()
		return
	}
	mul.track(ses, true)
	defer mul.track(ses, false)
	defer ses.Close()
	for {
		str, err := ses.AcceptStream()
		if err != nil {
			return
		}
		go mul.serveStream(str)
	}
}

func (mul *Multiplexer) track(ses *yamux.Session, on bool) {
	mul.mu.Lock()
	defer mul.mu.Unlock()
	if mul.accepted == nil {
		mul.accepted = map[*yamux.Session]struct{}{}
	}
	if on {
		mul.accepted[ses] = struct{}{}
		return
	}
	delete(mul.accepted, ses)
}

func (mul *Multiplexer) serveStream(str *yamux.Stream) {
	defer str.Close()
	env, err := messenger.Read(str)
	if err != nil {
		if eris.Is(err, messenger.ErrProtocol) {
			_ = messenger.Write(str, messenger.NewFailure("protocol_version", err.Error()))
		}
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// The caller sends nothing more, so a finished read means it is gone.
		var one [1]byte
		_, _ = str.Read(one[:])
		cancel()
	}()
	if rep := mul.Handler(ctx, env); rep != nil {
		_ = messenger.Write(str, rep)
	}
}

// Close ends all sessions.
func (mul *Multiplexer) Close() {
	mul.mu.Lock()
	defer mul.mu.Unlock()
	for _, ses := range mul.sessions {
		ses.Close()
	}
	for ses := range mul.accepted {
		ses.Close()
	}
}
