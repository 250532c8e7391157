package controller

import (
	"context"
	"strings"

	"dalefront/internal/api"
	"dalefront/internal/kvstore"
	"dalefront/wire"
)

// jobsPageSize is the number of stored jobs that are read for one response. A job takes some 200 bytes in the
// response, so a response stays well below its size limit.
const jobsPageSize = 150

// Jobs implements api.JobLister on any controller by reading the stored jobs. Every listed job was
// accepted and had not ended when its record was read. Task counts come from the leader. Without a leader
// all jobs are listed as queued.
func (c *Controller) Jobs(ctx context.Context, after string, filter wire.JobFilter) (wire.JobList, error) {
	list := wire.JobList{Jobs: []wire.JobSummary{}}
	if after != "" {
		after = jobKey(after)
	}
	page, err := c.store.Page(ctx, jobPrefix, after, jobsPageSize)
	if err != nil {
		return list, api.ErrUnavailable
	}
	ids := make([]string, len(page.Items))
	for i, entry := range page.Items {
		ids[i] = strings.TrimPrefix(entry.Key, jobPrefix)
	}
	ended, err := c.endedJobs(ctx, ids)
	if err != nil {
		return list, api.ErrUnavailable
	}
	counts := c.taskCounts(ctx, ids)
	for i, entry := range page.Items {
		var record jobRecord
		if ended[ids[i]] || wire.Unmarshal(entry.Value, &record) != nil {
			continue
		}
		if summary := record.summary(counts); filter.Matches(&summary) {
			list.Jobs = append(list.Jobs, summary)
		}
	}
	if page.More && len(ids) > 0 {
		list.More, list.After = true, ids[len(ids)-1]
	}
	return list, nil
}

// summary returns the list entry of a job that has not ended.
func (r *jobRecord) summary(counts map[string]wire.JobStatus) wire.JobSummary {
	job := &r.Job
	summary := wire.JobSummary{
		ID: job.ID, Class: job.Class, Team: job.Team, Shape: job.Shape, Priority: job.Priority, Tasks: job.Tasks,
		Status: wire.JobQueued, Submitted: r.SubmittedAt,
	}
	if status, ok := counts[job.ID]; ok && !wire.Final(status.Status) {
		summary.Status, summary.Done, summary.Running = status.Status, status.Done, status.Running
	}
	return summary
}

// endedJobs returns which of the jobs have an end record in the store. It does not look up archived end
// records.
func (c *Controller) endedJobs(ctx context.Context, ids []string) (map[string]bool, error) {
	keys := make([]string, len(ids))
	for i, id := range ids {
		keys[i] = endKey(id)
	}
	existing, err := kvstore.ExistingKeys(ctx, c.store, keys, c.settings.Deployment.State.TxnOps)
	ended := make(map[string]bool, len(existing))
	for key := range existing {
		ended[strings.TrimPrefix(key, endPrefix)] = true
	}
	return ended, err
}
