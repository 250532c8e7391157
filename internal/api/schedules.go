package api

import (
	"context"
	"net/http"

	"dalefront/wire"
)

// schedules serves the paths of recurring jobs.
func schedules(mux *http.ServeMux, c Calendars) {
	handle := func(pattern string, do func(ctx context.Context, r *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), submitLimit)
			defer cancel()
			a, err := do(ctx, r)
			if err != nil {
				refuse(w, err)
				return
			}
			reply(w, http.StatusOK, a)
		})
	}
	handle("GET "+wire.PathSchedules, func(ctx context.Context, r *http.Request) (any, error) {
		return c.Schedules(ctx, r.URL.Query().Get("After"))
	})
	handle("GET "+wire.PathSchedules+"/{name}", func(ctx context.Context, r *http.Request) (any, error) {
		return c.Schedule(ctx, r.PathValue("name"))
	})
	for verb, paused := range map[string]bool{wire.PauseVerb: true, wire.ResumeVerb: false} {
		handle("POST "+wire.PathSchedules+"/{name}/"+verb, func(ctx context.Context, r *http.Request) (any, error) {
			return c.PauseSchedule(ctx, r.PathValue("name"), paused)
		})
	}
}
