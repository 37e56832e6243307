package acceptor

import (
	"context"
	"net"
)

// connKey is the key of a caller's connection in the contexts of its requests.
type connKey struct{}

// lingerer is a connection that can be reset instead of closed, such as *net.TCPConn.
type lingerer interface{ SetLinger(seconds int) error }

// ConnContext keeps a caller's connection in the contexts of its requests, for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, con net.Conn) context.Context {
	if lin, ok := con.(lingerer); ok {
		return context.WithValue(ctx, connKey{}, lin)
	}
	return ctx
}

// SetReset sets whether the connection of a request is reset when it closes, also if the
// process is killed. Otherwise it closes after all data is sent. It returns false if the
// context has no connection that can be reset.
func SetReset(ctx context.Context, reset bool) bool {
	lin, ok := ctx.Value(connKey{}).(lingerer)
	if !ok {
		return false
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	return lin.SetLinger(seconds) == nil
}
