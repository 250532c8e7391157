package api

import (
	"errors"
	"net/http"

	"dalefront/wire"
)

// Errors that a Service returns, each with the HTTP status of its response.
var (
	ErrUnavailable   = errors.New("can't decide now")    // 503
	ErrNotFound      = errors.New("no such job")         // 404
	ErrUnsatisfiable = errors.New("can never run")       // 422
	ErrNotLeader     = errors.New("not entitled to act") // 421
	ErrOverloaded    = errors.New("too many requests")   // 429
)

// RedirectError is an ErrNotLeader with the controller to which the worker should send its heartbeat
// instead.
type RedirectError struct {
	Target string // label of the other controller
}

// Error implements error.
func (e RedirectError) Error() string { return ErrNotLeader.Error() + ", try " + e.Target }

// Unwrap returns ErrNotLeader, so that errors.Is matches it.
func (RedirectError) Unwrap() error { return ErrNotLeader }

// retryAfterSeconds is the value of the Retry-After header of responses to transient errors.
const retryAfterSeconds = "1"

// statusCode maps an error of the service to its HTTP status. An unknown error counts as transient,
// like ErrUnavailable.
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

// writeError writes the response for an error.
func writeError(w http.ResponseWriter, err error) {
	switch code := statusCode(err); code {
	case http.StatusMisdirectedRequest:
		var redirect RedirectError
		errors.As(err, &redirect) // an empty target tells the worker to choose a controller itself
		writeResponse(w, code, wire.Redirect{To: redirect.Target})
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeResponse(w, code, wire.Error{Error: err.Error()})
	default:
		writeResponse(w, code, wire.Error{Error: err.Error()})
	}
}
