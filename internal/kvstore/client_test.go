package kvstore

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Checks that a watch whose changes are too large for the memory tells the caller to list the keys again, and that
// any other request gets no valid response.
func TestLargeResponses(t *testing.T) {
	chunk := make([]byte, 1<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range maxWatchResponseBytes/len(chunk) + 1 {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	client := New(strings.TrimPrefix(server.URL, "http://"), 1000, 1000, 1)
	if _, err := client.Watch(context.Background(), "a/", 1, time.Second); !errors.Is(err, ErrCompacted) {
		t.Errorf("watch: got %v, want ErrCompacted", err)
	}
	if _, err := client.Page(context.Background(), "a/", "", listPageSize); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("page: got %v, want ErrOutcomeUnknown", err)
	}
}
