package api

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxHeaderBytes  = 16 << 10 // of a request
	reservedSockets = 64       // of the socket budget, for the state service, cloud, peers and commands to workers
	minConns        = 16       // connections of workers and users, whatever the budget is

	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	writeTimeout      = 10 * time.Second
	idleTimeout       = 60 * time.Second
)

// MaxConns is how many connections of workers and users may be open within a socket budget.
func MaxConns(sockets int) int { return max(minConns, sockets-reservedSockets) }

// NewServer returns the HTTP server. It keeps open connections within the socket budget by closing
// those that are idle when the budget runs short.
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

// connLimiter bounds the open connections of a server. It is safe for concurrent use.
type connLimiter struct {
	limit int

	mu        sync.Mutex
	open      int
	idleSince map[net.Conn]time.Time
}

// connState is a hook for http.Server.ConnState.
func (l *connLimiter) connState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.open++
		if l.open > l.limit {
			l.makeRoom(conn)
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

// makeRoom closes the connection that is idle for longest or, if none is, the new one. The lock is
// held; the server reports the closed connection as closed in its turn.
func (l *connLimiter) makeRoom(newest net.Conn) {
	victim := newest
	for conn, since := range l.idleSince {
		if victim == newest || since.Before(l.idleSince[victim]) {
			victim = conn
		}
	}
	delete(l.idleSince, victim)
	_ = victim.Close()
}
