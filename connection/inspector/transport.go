package inspector

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"hemlockpin/connection/rationer"
)

// Attach makes a transport read all answers through Conns. It must be called before the transport
// is used, and after its DialContext and TLSClientConfig are set. The transport then speaks
// HTTP/1.1 only. Large heads take memory of mem; nil for no limit.
func Attach(tra *http.Transport, mem rationer.Memory) {
	dial := tra.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	tra.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(con, mem), nil
	}
	tra.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		cfg := tra.TLSClientConfig.Clone()
		if cfg == nil {
			cfg = &tls.Config{}
		}
		if cfg.ServerName == "" {
			cfg.ServerName, _, _ = net.SplitHostPort(address)
		}
		sec := tls.Client(con, cfg)
		if err := sec.HandshakeContext(ctx); err != nil {
			_ = con.Close()
			return nil, err
		}
		return New(sec, mem), nil
	}
}
