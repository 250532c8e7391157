package controller

import (
	"context"
	"errors"
	"strings"
	"time"

	"dalefront/internal/api"
	"dalefront/internal/calendar"
	"dalefront/internal/kvstore"
	"dalefront/internal/recurring"
	"dalefront/wire"
)

const (
	// schedulesPageSize is the maximum number of schedules in a list response. A schedule without its
	// runs takes about 200 bytes, so the response stays well below its size limit.
	schedulesPageSize = 200
	// maxNextOccurrences is the maximum number of a schedule's occurrences that are examined to find the
	// next occurrence that isn't skipped.
	maxNextOccurrences = 400
	// maxScheduleNameBytes is the maximum length of a schedule's name.
	maxScheduleNameBytes = 64
	// maxPauseAttempts is the maximum number of attempts to pause or resume a schedule while the leader
	// changes the same schedule.
	maxPauseAttempts = 5
)

// Schedules implements api.ScheduleService.
func (c *Controller) Schedules(ctx context.Context, after string) (wire.Schedules, error) {
	list := wire.Schedules{Schedules: []wire.Schedule{}}
	if c.calendar == nil {
		return list, api.ErrNotFound
	}
	if after != "" {
		after = scheduleKey(after)
	}
	page, err := c.store.Page(ctx, schedulePrefix, after, schedulesPageSize)
	if err != nil {
		return list, api.ErrUnavailable
	}
	for _, entry := range page.Items {
		var state recurring.State
		if wire.Unmarshal(entry.Value, &state) == nil {
			list.Schedules = append(list.Schedules, c.describeSchedule(strings.TrimPrefix(entry.Key, schedulePrefix), &state))
		}
	}
	list.More = page.More
	return list, nil
}

// Schedule implements api.ScheduleService.
func (c *Controller) Schedule(ctx context.Context, name string) (wire.Schedule, error) {
	state, _, err := c.readSchedule(ctx, name)
	if err != nil {
		return wire.Schedule{}, err
	}
	return c.describeScheduleWithRuns(name, &state), nil
}

// PauseSchedule implements api.ScheduleService. It works on any controller, because the change is conditional
// on the version of the schedule's state that was read. A decision that the leader based on the previous
// version then fails, and the leader decides again.
func (c *Controller) PauseSchedule(ctx context.Context, name string, paused bool) (wire.Schedule, error) {
	for range maxPauseAttempts {
		state, version, err := c.readSchedule(ctx, name)
		if err != nil {
			return wire.Schedule{}, err
		}
		if state.Paused == paused {
			return c.describeScheduleWithRuns(name, &state), nil
		}
		state.Paused = paused
		_, err = c.store.Txn(ctx, wire.Txn{
			Conditions: []wire.Condition{{Key: scheduleKey(name), Version: version}},
			Mutations:  []wire.Mutation{{Put: scheduleKey(name), Value: state}},
		})
		switch {
		case err == nil:
			return c.describeScheduleWithRuns(name, &state), nil
		case errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrOutcomeUnknown):
			continue // read the state again
		}
		return wire.Schedule{}, api.ErrUnavailable
	}
	return wire.Schedule{}, api.ErrUnavailable
}

// readSchedule reads a schedule's state and the version of its key.
func (c *Controller) readSchedule(ctx context.Context, name string) (state recurring.State, version uint64, err error) {
	if c.calendar == nil || name == "" || len(name) > maxScheduleNameBytes || strings.ContainsAny(name, "/ ") {
		return state, 0, api.ErrNotFound
	}
	entry, found, err := c.store.Get(ctx, scheduleKey(name))
	switch {
	case err != nil:
		return state, 0, api.ErrUnavailable
	case found:
		return state, entry.Version, wire.Unmarshal(entry.Value, &state)
	case c.calendar.Find(name) != nil:
		return state, 0, api.ErrUnavailable // the leader has not stored the schedule's state yet
	}
	return state, 0, api.ErrNotFound
}

// describeScheduleWithRuns returns a schedule with its runs, as users see it.
func (c *Controller) describeScheduleWithRuns(name string, state *recurring.State) wire.Schedule {
	schedule := c.describeSchedule(name, state)
	schedule.Runs = state.Runs
	return schedule
}

// describeSchedule returns a schedule without its runs, as users see it in a list.
func (c *Controller) describeSchedule(name string, state *recurring.State) wire.Schedule {
	schedule := wire.Schedule{
		Name: name, Revision: state.Revision, Paused: state.Paused, Gone: state.RemovedAt > 0,
		Ran: state.Submitted, Missed: state.Missed, Skipped: state.Skipped,
	}
	if definition := c.calendar.Find(name); definition != nil {
		schedule.Zone = definition.Location.String()
		schedule.Next = nextRun(definition, state)
	}
	return schedule
}

// nextRun returns the time of a schedule's next run, in microseconds of Unix time. Occurrences that are
// skipped, for example on holidays and weekends, don't count. It returns 0 if there is no next run
// within maxNextOccurrences occurrences.
func nextRun(schedule *calendar.Schedule, state *recurring.State) int64 {
	after := time.UnixMicro(state.DecidedUntil)
	if state.DecidedUntil == 0 {
		after = time.Now()
	}
	for range maxNextOccurrences {
		occurrence, ok := schedule.Next(after)
		if !ok {
			return 0
		}
		if occurrence.SkipReason == "" {
			return occurrence.At.Add(schedule.Delay()).UnixMicro()
		}
		after = occurrence.At
	}
	return 0
}
