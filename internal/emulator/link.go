package emulator

import (
	"context"
	"net"
	"sync"
)

// zoneCuts is which zones are cut off from everything outside them. A cut loses no
// connection: what is sent over it arrives when it has healed, if the sender still
// waits then.
type zoneCuts struct {
	mu     sync.Mutex
	healed map[string]chan struct{}
}

// cut begins or ends the cut of a zone.
func (z *zoneCuts) cut(zone string, on bool) {
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

// between returns what is closed when the way between two zones may be open again, nil
// if it is open now. What is in no zone is in the zone "".
func (z *zoneCuts) between(a, b string) <-chan struct{} {
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

// await waits until the way between two zones is open. It says whether it is.
func (z *zoneCuts) await(ctx context.Context, a, b string) bool {
	for {
		c := z.between(a, b)
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

// dialController connects what is in no zone, users and their load balancer, to a
// controller.
func (s *Site) dialController(ctx context.Context, network, addr string) (net.Conn, error) {
	zone := ""
	for _, c := range s.controllers {
		if c.addr == addr {
			zone = c.zone
		}
	}
	if !s.cuts.await(ctx, "", zone) {
		return nil, ctx.Err()
	}
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &zoneConn{c, s, zone}, nil
}

// zoneConn is a connection into a zone.
type zoneConn struct {
	net.Conn
	s    *Site
	zone string
}

func (c *zoneConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.s.cuts.await(c.s.ctx, "", c.zone) {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *zoneConn) Write(b []byte) (int, error) {
	if !c.s.cuts.await(c.s.ctx, "", c.zone) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// link opens an address in one zone that leads to one in another, and returns it.
func (s *Site) link(from, zone, to string) (string, error) {
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
			go s.carry(c, from, zone, to)
		}
	}()
	return l.Addr().String(), nil
}

// carry carries one connection's bytes, both ways, until either end closes it.
func (s *Site) carry(near net.Conn, from, zone, to string) {
	defer near.Close()
	ctx, end := context.WithCancel(s.ctx)
	defer end()
	if !s.cuts.await(ctx, from, zone) {
		return
	}
	far, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	context.AfterFunc(ctx, func() { _, _ = near.Close(), far.Close() })
	pass := func(dst, src net.Conn) {
		defer end()
		b := make([]byte, 32<<10)
		for {
			n, err := src.Read(b)
			if n > 0 {
				if !s.cuts.await(ctx, from, zone) {
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
	go pass(far, near)
	pass(near, far)
}
