package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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

// Exit codes, beside 0 and, for a broken rule, 3. docs/operations.md lists them.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 4 // no such job or schedule
	exitLater   = 5 // nobody could answer; the same command may succeed later
)

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// jobCommands are those of users.
func jobCommands() []*cobra.Command {
	var out []*cobra.Command
	add := func(use, short string, args cobra.PositionalArgs, run func(s *user, args []string) error) *cobra.Command {
		s := &user{}
		c := &cobra.Command{Use: use, Short: short, Args: args, RunE: func(cmd *cobra.Command, args []string) error {
			s.out = cmd.OutOrStdout()
			return run(s, args)
		}}
		c.Flags().StringVar(&s.server, "server", "http://127.0.0.1:8080", "address of a controller or of the load balancer")
		c.Flags().BoolVar(&s.json, "json", false, "print a JSON object a line")
		out = append(out, c)
		return c
	}
	add("submit FILE", "Submit a job described in JSON (- reads standard input)", cobra.ExactArgs(1), func(s *user, args []string) error {
		body, err := readJob(args[0])
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		_, err = s.ask(http.MethodPost, wire.PathJobs, body)
		return err
	})
	var watch bool
	status := add("status ID", "Show a job's state", cobra.ExactArgs(1), func(s *user, args []string) error {
		path := wire.PathJobs + "/" + url.PathEscape(args[0])
		if !watch {
			_, err := s.ask(http.MethodGet, path, nil)
			return err
		}
		return s.watch(path)
	})
	status.Flags().BoolVar(&watch, "watch", false, "show each change until the job is over")
	add("cancel ID", "Cancel a job", cobra.ExactArgs(1), func(s *user, args []string) error {
		_, err := s.ask(http.MethodPost, wire.PathJobs+"/"+url.PathEscape(args[0])+"/"+wire.CancelAction, nil)
		return err
	})
	var f wire.JobFilter
	jobs := add("jobs", "List the jobs that are not over", cobra.NoArgs, func(s *user, _ []string) error { return s.list(f) })
	jobs.Flags().StringVar(&f.Class, "class", "", "only jobs of this class")
	jobs.Flags().StringVar(&f.Team, "team", "", "only jobs of this team")
	jobs.Flags().StringVar(&f.Status, "status", "", "only queued or running jobs")
	return out
}

// user is where commands of users go, and how they print.
type user struct {
	out    io.Writer
	server string
	json   bool
	shown  wire.JobStatus
}

// statusLine is a job's state in JSON.
type statusLine struct {
	ID      string `json:"id"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

func (s *user) ask(method, path string, body []byte) (wire.JobStatus, error) {
	var st wire.JobStatus
	if err := request(method, s.server+path, body, &st); err != nil {
		return st, err
	}
	if st == s.shown {
		return st, nil
	}
	s.shown = st
	if s.json {
		return st, json.NewEncoder(s.out).Encode(statusLine(st))
	}
	_, err := fmt.Fprintf(s.out, "%s %s done=%d running=%d\n", st.ID, st.Status, st.Done, st.Running)
	return st, err
}

// watch asks every second and prints what has changed. What nobody can answer now is
// asked again for a minute.
func (s *user) watch(path string) error {
	for failed := 0; ; {
		st, err := s.ask(http.MethodGet, path, nil)
		var coded *exitError
		switch {
		case err == nil && wire.Final(st.Status):
			return nil
		case err == nil:
			failed = 0
		case failed >= 60 || !errors.As(err, &coded) || coded.code != exitLater:
			return err
		default:
			failed++
		}
		time.Sleep(time.Second)
	}
}

func (s *user) list(f wire.JobFilter) error {
	q := url.Values{}
	for name, v := range map[string]string{"Jobclass": f.Class, "Owner": f.Team, "Status": f.Status} {
		if v != "" {
			q.Set(name, v)
		}
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	if !s.json {
		fmt.Fprintln(w, "JOB\tCLASS\tTEAM\tPRIORITY\tSHAPE\tSTATUS\tDONE\tRUNNING\tTASKS\tAGE")
	}
	for {
		var page wire.JobList
		if err := request(http.MethodGet, s.server+wire.PathJobList+"?"+q.Encode(), nil, &page); err != nil {
			return err
		}
		for i := range page.Jobs {
			j := &page.Jobs[i]
			if s.json {
				if err := json.NewEncoder(s.out).Encode(j); err != nil {
					return err
				}
				continue
			}
			age := max(0, time.Since(time.UnixMicro(j.Submitted))).Round(time.Second)
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", j.ID, j.Class, j.Team, j.Priority, j.Shape, j.Status, j.Done, j.Running, j.Tasks, age)
		}
		if !page.More {
			return w.Flush()
		}
		q.Set("After", page.After)
	}
}

// readJob turns a job written in JSON, with the names of the wire, into a
// submission.
func readJob(file string) ([]byte, error) {
	var b []byte
	var err error
	if file == "-" {
		b, err = io.ReadAll(os.Stdin)
	} else {
		b, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, err
	}
	return parseJob(b)
}

func parseJob(b []byte) ([]byte, error) {
	var m map[string]any
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, err
	}
	return wire.Marshal(m)
}

// request asks a controller and reads its answer; its error is one line that says what
// to do next, with the exit code.
func request(method, url string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &exitError{exitLater, fmt.Errorf("%w: is a controller running there (--server)?", err)}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return &exitError{exitLater, err}
	}
	if resp.StatusCode < 300 {
		return wire.Unmarshal(b, out)
	}
	var e wire.Error
	_ = wire.Unmarshal(b, &e)
	err = fmt.Errorf("%s: %s", resp.Status, e.Error)
	switch resp.StatusCode {
	case http.StatusNotFound:
		return &exitError{exitUnknown, err}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return &exitError{exitLater, fmt.Errorf("%w; try again", err)}
	}
	return err
}
