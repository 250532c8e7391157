package api

import (
	"context"
	"net/http"

	"dalefront/wire"
)

// ScheduleService is a Service that runs recurring jobs. Its methods return ErrNotFound if no
// calendar is configured.
type ScheduleService interface {
	// Schedules returns a page of the schedules, ordered by name, that come after the given name.
	Schedules(ctx context.Context, after string) (wire.Schedules, error)

	// Schedule returns one schedule with its latest runs.
	Schedule(ctx context.Context, name string) (wire.Schedule, error)

	// PauseSchedule pauses or resumes a schedule and returns it.
	PauseSchedule(ctx context.Context, name string, paused bool) (wire.Schedule, error)
}

// routeSchedules registers the paths of recurring jobs.
func routeSchedules(mux *http.ServeMux, service ScheduleService) {
	route(mux, "GET "+wire.PathSchedules, submitTimeout, func(ctx context.Context, r *http.Request) (any, error) {
		return service.Schedules(ctx, r.URL.Query().Get("After"))
	})
	route(mux, "GET "+wire.PathSchedules+"/{name}", submitTimeout, func(ctx context.Context, r *http.Request) (any, error) {
		return service.Schedule(ctx, r.PathValue("name"))
	})
	for verb, paused := range map[string]bool{wire.PauseAction: true, wire.ResumeAction: false} {
		route(mux, "POST "+wire.PathSchedules+"/{name}/"+verb, submitTimeout, func(ctx context.Context, r *http.Request) (any, error) {
			return service.PauseSchedule(ctx, r.PathValue("name"), paused)
		})
	}
}
