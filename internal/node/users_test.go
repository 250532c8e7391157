package node

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"dalefront/internal/config"
	"dalefront/wire"
)

func testNode(t *testing.T, h http.HandlerFunc) *Node {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	set := &config.Settings{Label: "a"}
	set.Endpoints.State = strings.TrimPrefix(srv.URL, "http://")
	set.Endpoints.Cloud = set.Endpoints.State
	set.Deployment.State.RPS, set.Deployment.State.WriteRPS = 1000, 1000
	set.Deployment.Cloud.RPS = 100
	n, err := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// An end that the watch brings while a query reads it must not turn the query
// into a 404, nor into an older answer.
func TestEndDuringQuery(t *testing.T) {
	var n *Node
	n = testNode(t, func(w http.ResponseWriter, r *http.Request) {
		n.remember(wire.JobStatus{ID: "j-1", Status: wire.JobDone, Done: 3})
		w.WriteHeader(http.StatusNotFound)
		b, _ := wire.Marshal(map[string]int{"Epoch": 5})
		_, _ = w.Write(b)
	})
	n.setKnown("j-1")
	st, err := n.Status(context.Background(), "j-1")
	if err != nil || st.Status != wire.JobDone {
		t.Fatalf("got %+v, %v; want done", st, err)
	}
}
