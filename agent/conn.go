package agent

import (
	"context"
	"net"

	"egretshunt/heads"
)

// endpointConn is a connection that carries one call. It refuses heads that break the grammar of HTTP: net/http doesn't.
type endpointConn struct {
	net.Conn
	heads heads.Scanner
}

// dialEndpoint connects to an endpoint; it is an http.Transport's DialContext.
func dialEndpoint(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &endpointConn{Conn: c}, nil
}

// Read implements net.Conn. An error of type heads.Malformed means that the response can't be trusted.
func (c *endpointConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if failed := c.heads.Scan(p[:n]); failed != nil {
		return 0, failed
	}
	return n, err
}
