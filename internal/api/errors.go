package api

import (
	"errors"
	"net/http"

	"dalefront/wire"
)

// Errors of a Service, each with the HTTP status that it is answered with.
var (
	ErrUnavailable   = errors.New("can't decide now")    // 503
	ErrNotFound      = errors.New("no such job")         // 404
	ErrUnsatisfiable = errors.New("can never run")       // 422
	ErrNotLeader     = errors.New("not entitled to act") // 421
	ErrOverloaded    = errors.New("too many requests")   // 429
)

// RedirectError is an ErrNotLeader that names the controller to which the worker should send its
// heartbeat instead.
type RedirectError struct {
	Target string // label of the other controller
}

// Error implements error.
func (e RedirectError) Error() string { return ErrNotLeader.Error() + ", try " + e.Target }

// Unwrap makes a RedirectError an ErrNotLeader for errors.Is.
func (RedirectError) Unwrap() error { return ErrNotLeader }

// retryAfterSeconds is what clients are told to wait after an error that may pass by itself.
const retryAfterSeconds = "1"

// statusCode maps an error of the service to its HTTP status. An error that it doesn't know counts
// as one that may pass.
func statusCode(err error) int {
	switch {
	case errors.Is(err, wire.ErrMalformed):
		return http.StatusBadRequest
	case errors.Is(err, ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, ErrUnsatisfiable):
		return http.StatusUnprocessableEntity
	case errors.Is(err, ErrNotLeader):
		return http.StatusMisdirectedRequest
	case errors.Is(err, ErrOverloaded):
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// writeError answers a request with an error.
func writeError(w http.ResponseWriter, err error) {
	switch code := statusCode(err); code {
	case http.StatusMisdirectedRequest:
		var redirect RedirectError
		errors.As(err, &redirect) // without a target the worker chooses by itself
		writeResponse(w, code, wire.Redirect{To: redirect.Target})
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeResponse(w, code, wire.Error{Error: err.Error()})
	default:
		writeResponse(w, code, wire.Error{Error: err.Error()})
	}
}
