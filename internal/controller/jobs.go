package controller

import (
	"context"
	"strings"

	"dalefront/internal/api"
	"dalefront/internal/kvstore"
	"dalefront/wire"
)

// jobsPage is how many jobs one answer looks at: some 200 bytes each, well below the
// limit of an answer.
const jobsPage = 150

// Jobs implements api.JobLister, from the stored jobs: any node can, and what it names
// was accepted and had not ended when it was read. Counts are the leader's; without
// it jobs are shown as queued.
func (c *Controller) Jobs(ctx context.Context, after string, f wire.JobFilter) (wire.JobList, error) {
	out := wire.JobList{Jobs: []wire.JobSummary{}}
	if after != "" {
		after = jobKey(after)
	}
	page, err := c.store.Page(ctx, jobPrefix, after, jobsPage)
	if err != nil {
		return out, api.ErrUnavailable
	}
	var ids []string
	for _, e := range page.Items {
		ids = append(ids, strings.TrimPrefix(e.Key, jobPrefix))
	}
	over, err := c.endedJobs(ctx, ids)
	if err != nil {
		return out, api.ErrUnavailable
	}
	counts := c.taskCounts(ctx, ids)
	for i, e := range page.Items {
		var rec jobRecord
		if over[ids[i]] || wire.Unmarshal(e.Value, &rec) != nil {
			continue
		}
		j := &rec.Job
		s := wire.JobSummary{ID: j.ID, Class: j.Class, Team: j.Team, Shape: j.Shape, Priority: j.Priority, Tasks: j.Tasks,
			Status: wire.JobQueued, Submitted: rec.SubmittedAt}
		if st, ok := counts[j.ID]; ok && !wire.Final(st.Status) {
			s.Status, s.Done, s.Running = st.Status, st.Done, st.Running
		}
		if f.Matches(&s) {
			out.Jobs = append(out.Jobs, s)
		}
	}
	if out.More = page.More && len(ids) > 0; out.More {
		out.After = ids[len(ids)-1]
	}
	return out, nil
}

// endedJobs tells which of some jobs have an end of their own.
func (c *Controller) endedJobs(ctx context.Context, ids []string) (map[string]bool, error) {
	keys := make([]string, len(ids))
	for i, id := range ids {
		keys[i] = endKey(id)
	}
	there, err := kvstore.Existing(ctx, c.store, keys, c.settings.Deployment.State.TxnOps)
	over := make(map[string]bool, len(there))
	for k := range there {
		over[strings.TrimPrefix(k, endPrefix)] = true
	}
	return over, err
}
