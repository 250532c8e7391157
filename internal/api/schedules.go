package api

import (
	"context"
	"net/http"

	"dalefront/wire"
)

// ScheduleService is a Service that has recurring jobs. Without a calendar its answers are
// ErrNotFound.
type ScheduleService interface {
	// Schedules lists schedules by name, those after the name given.
	Schedules(ctx context.Context, after string) (wire.Schedules, error)

	// Schedule answers with one schedule and its last runs.
	Schedule(ctx context.Context, name string) (wire.Schedule, error)

	// PauseSchedule pauses or resumes a schedule.
	PauseSchedule(ctx context.Context, name string, paused bool) (wire.Schedule, error)
}

// routeSchedules serves the paths of recurring jobs.
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
