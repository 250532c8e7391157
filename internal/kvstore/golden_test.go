package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dalefront/internal/golden"
	"dalefront/wire"
)

// What is asked of the state service, and what its answers mean, is as testdata/requests.golden
// has it.
func TestRequestsStayAsTheyAre(t *testing.T) {
	code, body := http.StatusOK, map[string]any{}
	recorder := &golden.Recorder{Answer: func(*http.Request) (int, any) { return code, body }}
	server := httptest.NewServer(recorder)
	defer server.Close()
	client := New(strings.TrimPrefix(server.URL, "http://"), 1000, 1000, 1)
	ctx := context.Background()
	var out strings.Builder
	ask := func(code_ int, body_ map[string]any, call func() (any, error)) {
		code, body = code_, body_
		before := len(recorder.Lines())
		answer, err := call()
		meaning := "another error"
		switch {
		case err == nil:
			meaning = "no error"
		case errors.Is(err, ErrRefused):
			meaning = "refused"
		case errors.Is(err, ErrOutcomeUnknown):
			meaning = "unknown"
		case errors.Is(err, ErrConflict):
			meaning = "conflict"
		case errors.Is(err, ErrLeaseNotFound):
			meaning = "no lease"
		case errors.Is(err, ErrCompacted):
			meaning = "compacted"
		}
		fmt.Fprintf(&out, "%s\n  %d: %v, %s\n", strings.Join(recorder.Lines()[before:], "\n"), code_, answer, meaning)
	}
	entry := map[string]any{"K": "q/a/j-1", "Value": "v", "Stamp": 7}
	page := map[string]any{"Entries": []any{entry}, "More": false, "Epoch": 9}
	txn := wire.Txn{Conditions: []wire.Condition{{Key: "term", Version: 7}},
		Mutations: []wire.Mutation{{Put: "a b/c", Value: "v", Lease: 3}, {Delete: "d"}}}
	get := func() (any, error) {
		e, found, err := client.Get(ctx, "q/a/j-1")
		return fmt.Sprint(e.Key, " ", e.Version, " ", found), err
	}
	multi := func() (any, error) {
		a, err := client.Txn(ctx, txn)
		return fmt.Sprint(a.Revision, a.FailedKeys), err
	}
	ask(200, entry, get)
	ask(404, map[string]any{"error": "x"}, get)
	ask(503, map[string]any{"error": "x"}, get)
	ask(500, map[string]any{"error": "x"}, get)
	ask(200, page, func() (any, error) {
		items, revision, err := client.List(ctx, "q/")
		return fmt.Sprint(len(items), " ", revision), err
	})
	ask(200, page, func() (any, error) {
		p, err := client.Page(ctx, "q/", "q/a/j-1", 500)
		return fmt.Sprint(len(p.Items), " ", p.Revision, " ", p.More), err
	})
	ask(200, map[string]any{"Epoch": 12}, multi)
	ask(409, map[string]any{"Epoch": 12, "failed": []string{"term"}}, multi)
	ask(400, map[string]any{"error": "no such lease"}, multi)
	ask(400, map[string]any{"error": "too large"}, multi)
	ask(503, map[string]any{"error": "x"}, multi)
	ask(200, map[string]any{"Tenancy": 5}, func() (any, error) { return client.OpenLease(ctx, 2*time.Second) })
	ask(200, map[string]any{}, func() (any, error) { return nil, client.RenewLease(ctx, 5) })
	ask(404, map[string]any{"error": "x"}, func() (any, error) { return nil, client.RenewLease(ctx, 5) })
	ask(200, map[string]any{}, func() (any, error) { return nil, client.EndLease(ctx, 5) })
	watch := func() (any, error) {
		ev, err := client.Watch(ctx, "q/", 9, 2*time.Second)
		return fmt.Sprint(ev.Revision, " ", len(ev.Events)), err
	}
	ask(200, map[string]any{"Epoch": 11, "Events": []any{map[string]any{"Write": "k", "Value": "v", "Stamp": 10}}}, watch)
	ask(410, map[string]any{"error": "x"}, watch)
	ask(503, map[string]any{"error": "x"}, watch)
	golden.Text(t, "requests.golden", out.String())
}
