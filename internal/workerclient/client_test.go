package workerclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"dalefront/wire"
)

// Commands to many machines leave few connections open: at 1,500 machines there was one
// to each of them, nearly half of the sockets that the platform gives.
func TestFewConnectionsStayOpen(t *testing.T) {
	var mu sync.Mutex
	open := 0
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return open
	}
	c := New(8)
	for range 60 {
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			b, _ := wire.Marshal(wire.Heartbeat{Host: "n-1"})
			_, _ = w.Write(b)
		}))
		srv.Config.ConnState = func(_ net.Conn, st http.ConnState) {
			mu.Lock()
			defer mu.Unlock()
			switch st {
			case http.StateNew:
				open++
			case http.StateClosed:
				open--
			}
		}
		srv.Start()
		t.Cleanup(srv.Close)
		r, err := c.SendCommands(context.Background(), strings.TrimPrefix(srv.URL, "http://"), wire.CommandBatch{FencingToken: 1, Incarnation: 1})
		if err != nil || r.Host != "n-1" {
			t.Fatal(r, err)
		}
	}
	for i := 0; count() > 8 && i < 1000; i++ {
		time.Sleep(5 * time.Millisecond) // the servers notice a moment later
	}
	if n := count(); n > 8 || n == 0 {
		t.Errorf("%d connections are open", n)
	}
}
