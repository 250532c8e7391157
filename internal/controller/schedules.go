package controller

import (
	"context"
	"errors"
	"strings"
	"time"

	"dalefront/internal/api"
	"dalefront/internal/kvstore"
	"dalefront/internal/recurring"
	"dalefront/wire"
)

// schedulesPage is how many schedules one answer names, without their runs: some
// 200 bytes each, well below the limit of an answer.
const schedulesPage = 200

// maxNextLooks is how many occurrences are looked at for the next one that isn't skipped.
const maxNextLooks = 400

// show makes what users see of a schedule.
func (c *Controller) showSchedule(name string, st *recurring.State, runs bool) wire.Schedule {
	out := wire.Schedule{Name: name, Revision: st.Revision, Paused: st.Paused, Gone: st.Gone > 0, Ran: st.Ran, Missed: st.Missed, Skipped: st.Skipped}
	if runs {
		out.Runs = st.Runs
	}
	if s := c.calendar.Find(name); s != nil {
		out.Zone = s.Location.String()
		after := time.UnixMicro(st.Upto)
		if st.Upto == 0 {
			after = time.Now()
		}
		for range maxNextLooks { // beyond holidays and weekends
			o, ok := s.Next(after)
			if !ok {
				break
			}
			if after = o.At; o.Skip == "" {
				out.Next = o.At.Add(s.Delay()).UnixMicro()
				break
			}
		}
	}
	return out
}

// Schedules implements api.ScheduleService: the stored ones, by name, after the one given.
func (c *Controller) Schedules(ctx context.Context, after string) (wire.Schedules, error) {
	out := wire.Schedules{Schedules: []wire.Schedule{}}
	if c.calendar == nil {
		return out, api.ErrNotFound
	}
	if after != "" {
		after = scheduleKey(after)
	}
	page, err := c.store.Page(ctx, schedulePrefix, after, schedulesPage)
	if err != nil {
		return out, api.ErrUnavailable
	}
	for _, e := range page.Items {
		var st recurring.State
		if wire.Unmarshal(e.Value, &st) == nil {
			out.Schedules = append(out.Schedules, c.showSchedule(strings.TrimPrefix(e.Key, schedulePrefix), &st, false))
		}
	}
	out.More = page.More
	return out, nil
}

// schedule reads the state of one.
func (c *Controller) schedule(ctx context.Context, name string) (st recurring.State, version uint64, err error) {
	if c.calendar == nil || name == "" || len(name) > 64 || strings.ContainsAny(name, "/ ") {
		return st, 0, api.ErrNotFound
	}
	e, found, err := c.store.Get(ctx, scheduleKey(name))
	switch {
	case err != nil:
		return st, 0, api.ErrUnavailable
	case found:
		return st, e.Version, wire.Unmarshal(e.Value, &st)
	case c.calendar.Find(name) != nil:
		return st, 0, api.ErrUnavailable // the leader has yet to take it up
	}
	return st, 0, api.ErrNotFound
}

// Schedule implements api.ScheduleService.
func (c *Controller) Schedule(ctx context.Context, name string) (wire.Schedule, error) {
	st, _, err := c.schedule(ctx, name)
	if err != nil {
		return wire.Schedule{}, err
	}
	return c.showSchedule(name, &st, true), nil
}

// PauseSchedule implements api.ScheduleService. Any node may: the change is conditional on
// what was read, and the leader's next decision, conditional on what it knows, is
// refused and made anew.
func (c *Controller) PauseSchedule(ctx context.Context, name string, paused bool) (wire.Schedule, error) {
	for range 5 {
		st, version, err := c.schedule(ctx, name)
		if err != nil {
			return wire.Schedule{}, err
		}
		if st.Paused != paused {
			st.Paused = paused
			_, err = c.store.Txn(ctx, wire.Txn{
				Conditions: []wire.Condition{{Key: scheduleKey(name), Version: version}},
				Mutations:  []wire.Mutation{{Put: scheduleKey(name), Value: st}},
			})
			if errors.Is(err, kvstore.ErrConflict) || errors.Is(err, kvstore.ErrOutcomeUnknown) {
				continue // read it back
			}
			if err != nil {
				return wire.Schedule{}, api.ErrUnavailable
			}
		}
		return c.showSchedule(name, &st, true), nil
	}
	return wire.Schedule{}, api.ErrUnavailable
}
