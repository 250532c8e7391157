package api

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"golang.org/x/sync/semaphore"

	"dalefront/wire"
)

// Shares of the process's memory that the bodies of requests may take at a time, from when they are read until the
// request is handled. What is decoded from a body is several times larger than the body.
const (
	submissionMemoryShare = 1.0 / 64
	heartbeatMemoryShare  = 1.0 / 32
)

// bodyReader reads the bodies of one kind of request. Bodies that would exceed its share of the memory wait until
// others are handled, so that any number of large bodies at once can't exceed the memory. Each kind of request has
// a reader of its own: clients that send their bodies slowly delay only requests of their kind.
type bodyReader struct {
	maxBytes int64 // maximum size of a body
	memory   *semaphore.Weighted
}

// newBodyReader returns a reader of bodies that may use memoryBytes at a time, and at least as much as the largest
// body takes.
func newBodyReader(maxBytes, memoryBytes int64) *bodyReader {
	return &bodyReader{maxBytes: maxBytes, memory: semaphore.NewWeighted(max(maxBytes, memoryBytes))}
}

// read returns the body of a request. The caller calls release once the request is handled. The error is
// wire.ErrMalformed if the body is too large or can't be read, ErrOverloaded if the context expires before there is
// memory for it, and ErrUnavailable if it has not arrived within the server's read timeout.
func (b *bodyReader) read(ctx context.Context, w http.ResponseWriter, r *http.Request) (body []byte, release func(), err error) {
	size := r.ContentLength
	if size < 0 { // not known
		size = b.maxBytes
	}
	if size > b.maxBytes {
		return nil, nil, fmt.Errorf("%w: a body of %d bytes, of %d at most", wire.ErrMalformed, size, b.maxBytes)
	}
	if err := b.memory.Acquire(ctx, size); err != nil {
		return nil, nil, ErrOverloaded
	}
	release = func() { b.memory.Release(size) }
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, b.maxBytes))
	if err == nil {
		return body, release, nil
	}
	release()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, nil, fmt.Errorf("%w: the body has not arrived", ErrUnavailable)
	}
	return nil, nil, fmt.Errorf("%w: the body can't be read", wire.ErrMalformed)
}
