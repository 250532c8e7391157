package emulator

import (
	"context"
	"net"
	"sync"
)

// zonePartitions holds the zones that are partitioned from everything outside them. A partition closes no
// connections: data sent across a partition is delivered when the partition has healed, unless the connection
// has been closed by then.
type zonePartitions struct {
	mu     sync.Mutex
	healed map[string]chan struct{} // by partitioned zone; each channel is closed when the partition heals
}

// set starts or ends the partition of a zone.
func (z *zonePartitions) set(zone string, on bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.healed == nil {
		z.healed = map[string]chan struct{}{}
	}
	switch c := z.healed[zone]; {
	case on && c == nil:
		z.healed[zone] = make(chan struct{})
	case !on && c != nil:
		close(c)
		delete(z.healed, zone)
	}
}

// partitionBetween returns nil if the zones a and b can communicate. Otherwise it returns a channel that is
// closed when the partition of one of the two zones has healed. The zone "" stands for everything outside all
// zones.
func (z *zonePartitions) partitionBetween(a, b string) <-chan struct{} {
	z.mu.Lock()
	defer z.mu.Unlock()
	if a == b {
		return nil
	}
	if c := z.healed[a]; c != nil {
		return c
	}
	if c := z.healed[b]; c != nil {
		return c
	}
	return nil
}

// waitUntilOpen waits until the zones a and b can communicate. It returns false if ctx ends first.
func (z *zonePartitions) waitUntilOpen(ctx context.Context, a, b string) bool {
	for {
		c := z.partitionBetween(a, b)
		if c == nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-c:
		}
	}
}

// dialController opens a connection to a controller from outside all zones, where the users and the load
// balancer are.
func (s *Site) dialController(ctx context.Context, network, addr string) (net.Conn, error) {
	zone := ""
	for _, c := range s.controllers {
		if c.addr == addr {
			zone = c.zone
		}
	}
	if !s.cuts.waitUntilOpen(ctx, "", zone) {
		return nil, ctx.Err()
	}
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &zoneConn{c, s, zone}, nil
}

// zoneConn is a connection from outside all zones into a zone. A partition of the zone delays its data.
type zoneConn struct {
	net.Conn
	site *Site
	zone string
}

func (c *zoneConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.site.cuts.waitUntilOpen(c.site.ctx, "", c.zone) {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *zoneConn) Write(b []byte) (int, error) {
	if !c.site.cuts.waitUntilOpen(c.site.ctx, "", c.zone) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// startForwarder starts a listener for connections from fromZone, which are forwarded to toAddr in toZone. It
// returns the listener's address.
func (s *Site) startForwarder(fromZone, toZone, toAddr string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(s.ctx, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.forward(c, fromZone, toZone, toAddr)
		}
	}()
	return l.Addr().String(), nil
}

// forward forwards a connection's data in both directions until either end closes it.
func (s *Site) forward(client net.Conn, fromZone, toZone, toAddr string) {
	defer client.Close()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	if !s.cuts.waitUntilOpen(ctx, fromZone, toZone) {
		return
	}
	server, err := net.Dial("tcp", toAddr)
	if err != nil {
		return
	}
	context.AfterFunc(ctx, func() { _, _ = client.Close(), server.Close() })
	copyBytes := func(dst, src net.Conn) {
		defer cancel()
		b := make([]byte, 32<<10)
		for {
			n, err := src.Read(b)
			if n > 0 {
				if !s.cuts.waitUntilOpen(ctx, fromZone, toZone) {
					return
				}
				if _, err := dst.Write(b[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go copyBytes(server, client)
	copyBytes(client, server)
}
