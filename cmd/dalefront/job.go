package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dalefront/wire"
)

// newJobCommands returns the commands with which users submit and manage jobs.
func newJobCommands() []*cobra.Command {
	return []*cobra.Command{newSubmitCommand(), newStatusCommand(), newCancelCommand(), newJobsCommand()}
}

// newJobCommand returns a command that sends requests about jobs to a controller.
func newJobCommand(use, short string, args cobra.PositionalArgs, run func(client *jobClient, args []string) error) *cobra.Command {
	client := &jobClient{}
	cmd := &cobra.Command{Use: use, Short: short, Args: args, RunE: func(cmd *cobra.Command, args []string) error {
		client.out = cmd.OutOrStdout()
		return run(client, args)
	}}
	addServerFlag(cmd, &client.server)
	cmd.Flags().BoolVar(&client.asJSON, "json", false, "print a JSON object a line")
	return cmd
}

func newSubmitCommand() *cobra.Command {
	return newJobCommand("submit FILE", "Submit a job described in JSON (- reads standard input)", cobra.ExactArgs(1),
		func(client *jobClient, args []string) error {
			body, err := readJobFile(args[0])
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			_, err = client.call(http.MethodPost, wire.PathJobs, body)
			return err
		})
}

func newStatusCommand() *cobra.Command {
	var watch bool
	cmd := newJobCommand("status ID", "Show a job's state", cobra.ExactArgs(1), func(client *jobClient, args []string) error {
		if watch {
			return client.watch(jobPath(args[0]))
		}
		_, err := client.call(http.MethodGet, jobPath(args[0]), nil)
		return err
	})
	cmd.Flags().BoolVar(&watch, "watch", false, "show each change until the job is over")
	return cmd
}

func newCancelCommand() *cobra.Command {
	return newJobCommand("cancel ID", "Cancel a job", cobra.ExactArgs(1), func(client *jobClient, args []string) error {
		_, err := client.call(http.MethodPost, jobPath(args[0])+"/"+wire.CancelAction, nil)
		return err
	})
}

func newJobsCommand() *cobra.Command {
	var filter wire.JobFilter
	cmd := newJobCommand("jobs", "List the jobs that are not over", cobra.NoArgs,
		func(client *jobClient, _ []string) error { return client.list(filter) })
	cmd.Flags().StringVar(&filter.Class, "class", "", "only jobs of this class")
	cmd.Flags().StringVar(&filter.Team, "team", "", "only jobs of this team")
	cmd.Flags().StringVar(&filter.Status, "status", "", "only queued or running jobs")
	return cmd
}

func jobPath(id string) string { return wire.PathJobs + "/" + url.PathEscape(id) }

// jobClient sends requests about jobs to a controller and prints the responses.
type jobClient struct {
	out        io.Writer
	server     string
	asJSON     bool
	lastStatus wire.JobStatus // the status that was printed last; it is not printed again until it changes
}

// statusLine is a job's status, as --json prints it.
type statusLine struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// call sends a request about a job and prints the job's status if it has changed.
func (c *jobClient) call(method, path string, body []byte) (wire.JobStatus, error) {
	var status wire.JobStatus
	if err := request(method, c.server+path, body, &status); err != nil {
		return status, err
	}
	if status == c.lastStatus {
		return status, nil
	}
	c.lastStatus = status
	if c.asJSON {
		return status, json.NewEncoder(c.out).Encode(statusLine(status))
	}
	_, err := fmt.Fprintf(c.out, "%s %s done=%d running=%d\n", status.ID, status.Status, status.Done, status.Running)
	return status, err
}

const (
	watchInterval    = time.Second
	maxWatchFailures = 60 // consecutive failed polls; at one poll per watchInterval, one minute in total
)

// watch polls a job's status every second until the job has ended, and prints each change. If no controller
// can serve the requests, it retries for a minute.
func (c *jobClient) watch(path string) error {
	for failures := 0; ; {
		status, err := c.call(http.MethodGet, path, nil)
		switch {
		case err == nil && wire.Final(status.Status):
			return nil
		case err == nil:
			failures = 0
		case failures >= maxWatchFailures || !isUnavailable(err):
			return err
		default:
			failures++
		}
		time.Sleep(watchInterval)
	}
}

// list prints all jobs that match the filter, which it requests page by page.
func (c *jobClient) list(filter wire.JobFilter) error {
	query := url.Values{}
	for name, value := range map[string]string{"Jobclass": filter.Class, "Owner": filter.Team, "Status": filter.Status} {
		if value != "" {
			query.Set(name, value)
		}
	}
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	if !c.asJSON {
		fmt.Fprintln(table, "JOB\tCLASS\tTEAM\tPRIORITY\tSHAPE\tSTATUS\tDONE\tRUNNING\tTASKS\tAGE")
	}
	for {
		var page wire.JobList
		if err := request(http.MethodGet, c.server+wire.PathJobList+"?"+query.Encode(), nil, &page); err != nil {
			return err
		}
		for i := range page.Jobs {
			if err := c.printSummary(table, &page.Jobs[i]); err != nil {
				return err
			}
		}
		if !page.More {
			return table.Flush()
		}
		query.Set("After", page.After)
	}
}

// printSummary prints a job as a line of JSON or as a row of the table.
func (c *jobClient) printSummary(table io.Writer, job *wire.JobSummary) error {
	if c.asJSON {
		return json.NewEncoder(c.out).Encode(job)
	}
	age := max(0, time.Since(time.UnixMicro(job.Submitted))).Round(time.Second)
	_, err := fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n",
		job.ID, job.Class, job.Team, job.Priority, job.Shape, job.Status, job.Done, job.Running, job.Tasks, age)
	return err
}

// maxJobFileBytes is the maximum size of a job in JSON. A job with names of the longest form has a tenth of it.
const maxJobFileBytes = 1 << 20

// readJobFile reads a job in JSON, with the field names of the wire protocol, and encodes it as a submission.
// The file name - stands for standard input.
func readJobFile(file string) ([]byte, error) {
	input := os.Stdin
	if file != "-" {
		var err error
		if input, err = os.Open(file); err != nil {
			return nil, err
		}
		defer input.Close()
	}
	text, err := readAtMost(input, maxJobFileBytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return encodeJob(text)
}

// encodeJob encodes a job in JSON as a submission. It leaves the validation of the fields to the controller.
func encodeJob(text []byte) ([]byte, error) {
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	return wire.Marshal(fields)
}
