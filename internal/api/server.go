package api

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxHeaderBytes  = 16 << 10 // maximum size of a request's headers
	reservedSockets = 64       // sockets that are kept free for the state service, the cloud, peers and commands to workers
	minConns        = 16       // connections that workers and users may open even if the socket budget is smaller

	readHeaderTimeout = 5 * time.Second
	readTimeout       = 4 * time.Second // above the time limits for handling a request, so that it doesn't end one
	writeTimeout      = 10 * time.Second
	idleTimeout       = 60 * time.Second
)

// MaxConns returns the maximum number of open connections from workers and users for a socket budget.
func MaxConns(sockets int) int { return max(minConns, sockets-reservedSockets) }

// NewServer returns an HTTP server that keeps its open connections within a socket budget. For each new
// connection above MaxConns it closes an idle connection or, if no connection is idle, the new connection.
func NewServer(handler http.Handler, sockets int) *http.Server {
	limiter := connLimiter{limit: MaxConns(sockets), idleSince: map[net.Conn]time.Time{}}
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         limiter.connState,
	}
}

// connLimiter limits the open connections of a server. It is safe for concurrent use.
type connLimiter struct {
	limit int

	mu        sync.Mutex
	open      int
	idleSince map[net.Conn]time.Time
}

// connState tracks the state of a connection. The server calls it as its ConnState hook.
func (l *connLimiter) connState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.open++
		if l.open > l.limit {
			l.evict(conn)
		}
	case http.StateIdle:
		l.idleSince[conn] = time.Now()
	case http.StateActive:
		delete(l.idleSince, conn)
	case http.StateClosed, http.StateHijacked:
		delete(l.idleSince, conn)
		l.open--
	}
}

// evict closes the connection that has been idle for the longest time or, if none is idle, the new
// connection. The caller holds the lock. The server then calls connState for the closed connection, which
// updates the count.
func (l *connLimiter) evict(newConn net.Conn) {
	victim := newConn
	for conn, since := range l.idleSince {
		if victim == newConn || since.Before(l.idleSince[victim]) {
			victim = conn
		}
	}
	delete(l.idleSince, victim)
	_ = victim.Close()
}
