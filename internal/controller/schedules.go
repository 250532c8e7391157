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
	// schedulesPage is how many schedules one answer names, without their runs: some 200 bytes each,
	// well below the limit of an answer.
	schedulesPage = 200
	// maxNextLooks is how many occurrences are looked at for the next one that isn't skipped.
	maxNextLooks = 400
	// maxScheduleName is how long a schedule's name may be, in bytes.
	maxScheduleName = 64
	// pauseTries is how often a pause is tried while the leader changes the schedule.
	pauseTries = 5
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
	page, err := c.store.Page(ctx, schedulePrefix, after, schedulesPage)
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

// PauseSchedule implements api.ScheduleService. Any controller may pause: the change is conditional
// on what was read, and the leader's next decision, conditional on what it knows, is refused and made
// anew.
func (c *Controller) PauseSchedule(ctx context.Context, name string, paused bool) (wire.Schedule, error) {
	for range pauseTries {
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
			continue // read it back
		}
		return wire.Schedule{}, api.ErrUnavailable
	}
	return wire.Schedule{}, api.ErrUnavailable
}

// readSchedule reads the state of a schedule and its version.
func (c *Controller) readSchedule(ctx context.Context, name string) (state recurring.State, version uint64, err error) {
	if c.calendar == nil || name == "" || len(name) > maxScheduleName || strings.ContainsAny(name, "/ ") {
		return state, 0, api.ErrNotFound
	}
	entry, found, err := c.store.Get(ctx, scheduleKey(name))
	switch {
	case err != nil:
		return state, 0, api.ErrUnavailable
	case found:
		return state, entry.Version, wire.Unmarshal(entry.Value, &state)
	case c.calendar.Find(name) != nil:
		return state, 0, api.ErrUnavailable // the leader has yet to store it
	}
	return state, 0, api.ErrNotFound
}

// describeScheduleWithRuns is what users see of one schedule.
func (c *Controller) describeScheduleWithRuns(name string, state *recurring.State) wire.Schedule {
	schedule := c.describeSchedule(name, state)
	schedule.Runs = state.Runs
	return schedule
}

// describeSchedule is what users see of a schedule in a list.
func (c *Controller) describeSchedule(name string, state *recurring.State) wire.Schedule {
	schedule := wire.Schedule{
		Name: name, Revision: state.Revision, Paused: state.Paused, Gone: state.RemovedAt > 0,
		Ran: state.Submitted, Missed: state.Missed, Skipped: state.Skipped,
	}
	if defined := c.calendar.Find(name); defined != nil {
		schedule.Zone = defined.Location.String()
		schedule.Next = nextRun(defined, state)
	}
	return schedule
}

// nextRun is when a schedule runs next, beyond holidays and weekends: microseconds, time of day, or 0
// if that is too far off to be found.
func nextRun(schedule *calendar.Schedule, state *recurring.State) int64 {
	after := time.UnixMicro(state.DecidedUntil)
	if state.DecidedUntil == 0 {
		after = time.Now()
	}
	for range maxNextLooks {
		occurrence, ok := schedule.Next(after)
		if !ok {
			return 0
		}
		if occurrence.Skip == "" {
			return occurrence.At.Add(schedule.Delay()).UnixMicro()
		}
		after = occurrence.At
	}
	return 0
}
