package httpclient

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"dalefront/internal/malformed"
	"dalefront/wire"
)

const testTimeout = 20 * time.Second

// serveBody starts a server whose responses have a status and a body, and returns a client for it.
func serveBody(t *testing.T, status int, body []byte) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	return New(server.URL, 1, 0, wire.MaxBodyBytes)
}

// Guards against: a malformed response of the state service, the cloud or a worker ended the process. It counts as no
// valid response, never as a malformed request of a user, whatever its status is.
func TestMalformedResponseIsNoResponse(t *testing.T) {
	message := reflect.TypeFor[wire.KeyValuePage]()
	for name, value := range malformed.Truncated {
		for _, body := range malformed.Bodies(message, value) {
			client := serveBody(t, http.StatusOK, body)
			var page wire.KeyValuePage
			err := client.Call(context.Background(), testTimeout, http.MethodGet, "/", nil, &page)
			if !errors.Is(err, ErrNoResponse) || errors.Is(err, wire.ErrMalformed) {
				t.Errorf("%s: got %v, want ErrNoResponse", name, err)
			}
		}
		for _, status := range []int{http.StatusConflict, http.StatusServiceUnavailable} {
			client := serveBody(t, status, value)
			var response wire.TxnResponse
			err := client.Call(context.Background(), testTimeout, http.MethodPost, "/", nil, &response)
			if StatusCode(err) != status {
				t.Errorf("%s: got %v, want status %d", name, err, status)
			}
		}
	}
}

// Checks that a response is read up to the limit and not further, with and without a Content-Length.
func TestLargeResponseIsNotRead(t *testing.T) {
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for chunk := make([]byte, 1<<10); r.Context().Err() == nil; {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	t.Cleanup(endless.Close)
	for name, client := range map[string]*Client{
		"length": serveBody(t, http.StatusOK, make([]byte, wire.MaxBodyBytes+1)),
		"chunks": New(endless.URL, 1, 0, wire.MaxBodyBytes),
	} {
		t.Run(name, func(t *testing.T) {
			var page wire.KeyValuePage
			err := client.Call(context.Background(), testTimeout, http.MethodGet, "/", nil, &page)
			if !errors.Is(err, ErrTooLarge) || !errors.Is(err, ErrNoResponse) {
				t.Errorf("got %v, want ErrTooLarge", err)
			}
		})
	}
	largest, err := wire.Marshal(string(make([]byte, wire.MaxBodyBytes-5))) // 5 bytes are the text's header
	if err != nil || len(largest) > wire.MaxBodyBytes {
		t.Fatal(len(largest), err)
	}
	var text string
	if err := serveBody(t, http.StatusOK, largest).Call(context.Background(), testTimeout, http.MethodGet, "/", nil, &text); err != nil {
		t.Errorf("a response of %d bytes: %v", len(largest), err)
	}
}
