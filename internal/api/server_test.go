package api

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"dalefront/wire"
)

// Checks that the number of open connections stays within MaxConns when more clients connect: idle
// connections are closed in favor of new ones, and every new one is served.
func TestConnsWithinBudget(t *testing.T) {
	const sockets = 100
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := NewServer(Handler(&fakeService{}, http.NotFoundHandler(), resources), sockets)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	var conns []net.Conn
	t.Cleanup(func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	})
	for range 3 * sockets {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
		_, _ = conn.Write([]byte("GET " + wire.PathHealth + " HTTP/1.1\r\nHost: a\r\n\r\n"))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("connection %d: %v", len(conns), err)
		}
		_ = response.Body.Close()
		time.Sleep(time.Millisecond) // gives the server time to see that the connection is idle
	}
	open := 0
	for _, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			open++
		}
	}
	if open != MaxConns(sockets) {
		t.Errorf("%d connections are open, want %d of %d sockets", open, MaxConns(sockets), sockets)
	}
}
