package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dalefront/internal/config"
	"dalefront/internal/dynconfig"
	"dalefront/internal/peer"
	"dalefront/wire"
)

// configClient talks to the controllers of a site about their configuration.
type configClient struct {
	set     *config.Settings
	clients []*peer.Client // the one that the settings are of first
	labels  []string
}

// dialControllers connects to all controllers that the settings name.
func dialControllers(settings, operator string) (*configClient, error) {
	if settings == "" {
		return nil, errors.New("--config is missing: the settings of any controller")
	}
	set, err := config.Load(settings, operator)
	if err != nil {
		return nil, err
	}
	c := &configClient{set: set}
	for _, m := range append([]config.Member{{Label: set.Label, Addr: set.PeerAddr}}, set.Members...) {
		client, err := peer.Dial(m.Addr)
		if err != nil {
			return nil, err
		}
		c.clients, c.labels = append(c.clients, client), append(c.labels, m.Label)
	}
	return c, nil
}

func (c *configClient) close() {
	for _, client := range c.clients {
		_ = client.Close()
	}
}

// apply asks the controllers one after the other, under one name, until one gives an answer.
func (c *configClient) apply(ctx context.Context, q *peer.ConfigApplyRequest) (*peer.ConfigApplyResponse, error) {
	var last error
	for _, client := range c.clients {
		client.ResetBackoff()
		a, err := client.ConfigApply(ctx, q)
		if err == nil && (a.Outcome != peer.ConfigUnknown && a.Outcome != peer.ConfigRefused) {
			return a, nil
		}
		if err == nil {
			err = errors.New(a.Reason)
		}
		// It may have been carried out, or may yet be: the next one looks for it first.
		q.Retry, last = true, err
	}
	return nil, &exitError{exitLater, fmt.Errorf("no controller could say that it is applied (%w): config history shows whether %s is; with --if-generation it can be repeated safely", last, q.ID)}
}

// read asks the controllers one after the other.
func (c *configClient) read(ctx context.Context, history bool) (*peer.ConfigReadResponse, error) {
	var last error
	for _, client := range c.clients {
		client.ResetBackoff()
		a, err := client.ConfigRead(ctx, &peer.ConfigReadRequest{History: history})
		if err == nil && a.Reason == "" {
			return a, nil
		}
		if err == nil {
			err = errors.New(a.Reason)
		}
		last = err
	}
	return nil, &exitError{exitLater, fmt.Errorf("no controller can read the configuration: %w", last)}
}

// configCommand changes and shows the configuration that is in force at all controllers.
func configCommand(settings, operator *string) *cobra.Command {
	root := &cobra.Command{Use: "config", Short: "Change and show the configuration that all controllers follow while they run"}
	with := func(run func(cmd *cobra.Command, c *configClient, args []string) error) func(*cobra.Command, []string) error {
		return func(cmd *cobra.Command, args []string) error {
			c, err := dialControllers(*settings, *operator)
			if err == nil {
				defer c.close()
				err = run(cmd, c, args)
			}
			if err != nil {
				return fmt.Errorf("config %s: %w", cmd.Name(), err)
			}
			return nil
		}
	}
	root.AddCommand(configApplyCommand(with), configRollBackCommand(with), configGetCommand(with), configDiffCommand(with), configHistoryCommand(with), configStatusCommand(with))
	return root
}

// withController makes a command's function of one that needs the controllers.
type withController func(func(cmd *cobra.Command, c *configClient, args []string) error) func(*cobra.Command, []string) error

// changeFlags are the flags of what changes the configuration.
type changeFlags struct {
	dryRun       bool
	ifGeneration int64
	by           string
}

func (f *changeFlags) add(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&f.dryRun, "dry-run", false, "only say what would change")
	cmd.Flags().Int64Var(&f.ifGeneration, "if-generation", -1, "change nothing if another generation is in force")
	cmd.Flags().StringVar(&f.by, "by", os.Getenv("USER"), "who changes it, for the history")
}

func (f *changeFlags) request() *peer.ConfigApplyRequest {
	q := &peer.ConfigApplyRequest{ID: fmt.Sprintf("%x-%08x", time.Now().UnixMicro(), rand.Uint32()), Author: f.by, DryRun: f.dryRun}
	if f.ifGeneration >= 0 {
		generation := uint64(f.ifGeneration)
		q.IfGeneration = &generation
	}
	return q
}

// send sends a request and tells what became of it.
func (f *changeFlags) send(cmd *cobra.Command, c *configClient, q *peer.ConfigApplyRequest) error {
	a, err := c.apply(cmd.Context(), q)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	switch a.Outcome {
	case peer.ConfigApplied:
		for _, change := range a.Changes {
			printChange(out, &change)
		}
		if f.dryRun {
			fmt.Fprintf(out, "would be generation %d\n", a.Generation)
		} else {
			fmt.Fprintf(out, "generation %d\n", a.Generation)
		}
		return nil
	case peer.ConfigUnchanged:
		fmt.Fprintf(out, "nothing changes: generation %d\n", a.Generation)
		return nil
	}
	return errors.New(a.Reason)
}

func configApplyCommand(with withController) *cobra.Command {
	var f changeFlags
	cmd := &cobra.Command{Use: "apply FILE...", Short: "Store documents, as one generation", Args: cobra.MinimumNArgs(1),
		RunE: with(func(cmd *cobra.Command, c *configClient, args []string) error {
			changes, err := loadChanges(c.set, args)
			if err != nil {
				return err
			}
			q := f.request()
			q.Changes = changes
			return f.send(cmd, c, q)
		})}
	f.add(cmd)
	return cmd
}

// loadChanges reads several files; no document may be in two of them.
func loadChanges(set *config.Settings, files []string) (out []dynconfig.Change, err error) {
	from := map[string]string{}
	for _, path := range files {
		changes, err := dynconfig.LoadFile(path, set)
		if err != nil {
			return nil, err
		}
		for _, change := range changes {
			if other, is := from[change.ID()]; is {
				return nil, fmt.Errorf("%s: %s is in %s too", path, change.ID(), other)
			}
			from[change.ID()] = path
		}
		out = append(out, changes...)
	}
	return out, nil
}

func configRollBackCommand(with withController) *cobra.Command {
	var f changeFlags
	cmd := &cobra.Command{Use: "rollback GENERATION", Short: "Store the documents as they were at a generation, as a new one", Args: cobra.ExactArgs(1),
		RunE: with(func(cmd *cobra.Command, c *configClient, args []string) error {
			to, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return fmt.Errorf("%q is not the number of a generation", args[0])
			}
			q := f.request()
			q.RollbackTo = &to
			return f.send(cmd, c, q)
		})}
	f.add(cmd)
	return cmd
}

func configGetCommand(with withController) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: "get [KIND/NAME]", Short: "Show the documents in force", Args: cobra.MaximumNArgs(1),
		RunE: with(func(cmd *cobra.Command, c *configClient, args []string) error {
			a, err := c.read(cmd.Context(), false)
			if err != nil {
				return err
			}
			if len(args) > 0 {
				a.Documents = slices.DeleteFunc(a.Documents, func(d dynconfig.Document) bool { return d.ID() != args[0] })
			}
			if len(args) > 0 && len(a.Documents) == 0 {
				return fmt.Errorf("there is no document %s", args[0])
			}
			return printDocuments(cmd.OutOrStdout(), a, asJSON)
		})}
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

func printDocuments(out io.Writer, a *peer.ConfigReadResponse, asJSON bool) error {
	if asJSON {
		type document struct {
			Kind string `json:"kind"`
			Name string `json:"name"`
			Body any    `json:"body"`
		}
		documents := []document{}
		for _, d := range a.Documents {
			documents = append(documents, document{d.Kind, d.Name, readable(d.Kind, d.Body)})
		}
		return json.NewEncoder(out).Encode(map[string]any{"generation": a.Generation, "documents": documents})
	}
	fmt.Fprintf(out, "generation %d\n", a.Generation)
	for _, d := range a.Documents {
		fmt.Fprintf(out, "%s: %s\n", d.ID(), text(d.Kind, d.Body))
	}
	return nil
}

func configDiffCommand(with withController) *cobra.Command {
	return &cobra.Command{Use: "diff FILE...", Short: "Show what applying files would change", Args: cobra.MinimumNArgs(1),
		RunE: with(func(cmd *cobra.Command, c *configClient, args []string) error {
			changes, err := loadChanges(c.set, args)
			if err != nil {
				return err
			}
			f := changeFlags{dryRun: true, ifGeneration: -1}
			q := f.request()
			q.Changes = changes
			return f.send(cmd, c, q)
		})}
}

func configHistoryCommand(with withController) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: "history", Short: "Show the generations that are kept, the newest first", Args: cobra.NoArgs,
		RunE: with(func(cmd *cobra.Command, c *configClient, _ []string) error {
			a, err := c.read(cmd.Context(), true)
			if err != nil {
				return err
			}
			return printHistory(cmd.OutOrStdout(), a.History, asJSON)
		})}
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

func printHistory(out io.Writer, history []dynconfig.History, asJSON bool) error {
	if !asJSON {
		for _, h := range history {
			fmt.Fprintf(out, "generation %d, %s, by %q, apply %s\n", h.Generation, time.UnixMicro(h.At).UTC().Format(time.RFC3339), h.Author, h.ApplyID)
			for _, change := range h.Changes {
				printChange(out, &change)
			}
		}
		return nil
	}
	type change struct {
		Kind   string `json:"kind"`
		Name   string `json:"name"`
		Before any    `json:"before"`
		After  any    `json:"after"`
	}
	type generation struct {
		Number  uint64    `json:"generation"`
		At      time.Time `json:"at"`
		By      string    `json:"by"`
		Apply   string    `json:"apply"`
		Changes []change  `json:"changes"`
	}
	all := []generation{}
	for _, h := range history {
		g := generation{Number: h.Generation, At: time.UnixMicro(h.At).UTC(), By: h.Author, Apply: h.ApplyID}
		for _, x := range h.Changes {
			g.Changes = append(g.Changes, change{x.Kind, x.Name, readable(x.Kind, x.Before), readable(x.Kind, x.After)})
		}
		all = append(all, g)
	}
	return json.NewEncoder(out).Encode(all)
}

// controllerConfig is what a controller decides by.
type controllerConfig struct {
	Label      string     `json:"label"`
	Answers    bool       `json:"answers"`
	Known      bool       `json:"known"`
	Generation uint64     `json:"generation"`
	Since      *time.Time `json:"since"`
	Unknown    []string   `json:"not_usable,omitempty"`
}

// status asks every controller what it decides by.
func (c *configClient) status(ctx context.Context) []controllerConfig {
	out := make([]controllerConfig, len(c.clients))
	for i, client := range c.clients {
		out[i].Label = c.labels[i]
		client.ResetBackoff()
		a, err := client.ConfigStatus(ctx)
		if err != nil {
			continue
		}
		since := time.UnixMicro(a.ActiveSince).UTC()
		out[i] = controllerConfig{Label: c.labels[i], Answers: true, Known: a.Loaded, Generation: a.Generation, Since: &since, Unknown: a.UnusableDocuments}
	}
	return out
}

// inForce says whether all controllers decide by a generation, or a later one.
func inForce(all []controllerConfig, generation uint64) bool {
	return !slices.ContainsFunc(all, func(c controllerConfig) bool { return !c.Known || c.Generation < generation })
}

const statusPause = 100 * time.Millisecond

func configStatusCommand(with withController) *cobra.Command {
	var asJSON bool
	var wait time.Duration
	cmd := &cobra.Command{Use: "status", Short: "Show the generation in force at each controller, and since when", Args: cobra.NoArgs,
		RunE: with(func(cmd *cobra.Command, c *configClient, _ []string) error {
			ctx := cmd.Context()
			stored, err := c.read(ctx, false)
			if err != nil {
				return err
			}
			all := c.status(ctx)
			for begun := time.Now(); !inForce(all, stored.Generation) && time.Since(begun) < wait; all = c.status(ctx) {
				time.Sleep(statusPause)
			}
			if err := printStatus(cmd.OutOrStdout(), stored.Generation, all, asJSON); err != nil {
				return err
			}
			if wait > 0 && !inForce(all, stored.Generation) {
				return &exitError{exitLater, fmt.Errorf("generation %d is not in force everywhere after %v", stored.Generation, wait)}
			}
			return nil
		})}
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	cmd.Flags().DurationVar(&wait, "wait", 0, "until the stored generation is in force everywhere, at most so long")
	return cmd
}

func printStatus(out io.Writer, stored uint64, all []controllerConfig, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(map[string]any{"stored": stored, "controllers": all})
	}
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "stored: generation %d\n", stored)
	for _, c := range all {
		switch {
		case !c.Answers:
			fmt.Fprintf(t, "%s\tdoes not answer, or knows no such configuration\n", c.Label)
		case !c.Known:
			fmt.Fprintf(t, "%s\thas not read the configuration yet\n", c.Label)
		default:
			fmt.Fprintf(t, "%s\tgeneration %d\tsince %s\n", c.Label, c.Generation, c.Since.Format(time.RFC3339Nano))
		}
		for _, d := range c.Unknown {
			fmt.Fprintf(t, "%s\tcan't use %s\n", c.Label, d)
		}
	}
	return t.Flush()
}

func printChange(out io.Writer, c *dynconfig.HistoryChange) {
	switch {
	case c.Before == nil:
		fmt.Fprintf(out, "  + %s/%s: %s\n", c.Kind, c.Name, text(c.Kind, c.After))
	case c.After == nil:
		fmt.Fprintf(out, "  - %s/%s: %s\n", c.Kind, c.Name, text(c.Kind, c.Before))
	default:
		fmt.Fprintf(out, "  ~ %s/%s: %s, was %s\n", c.Kind, c.Name, text(c.Kind, c.After), text(c.Kind, c.Before))
	}
}

// readable is a document's body with the names that files have; one of an unknown kind is as
// it is stored.
func readable(kind string, body []byte) any {
	if body == nil {
		return nil
	}
	if shown, err := dynconfig.DecodeFields(kind, body); err == nil {
		return shown
	}
	var loose any
	_ = wire.Unmarshal(body, &loose)
	return loose
}

func text(kind string, body []byte) string {
	b, err := json.Marshal(readable(kind, body))
	if err != nil {
		return err.Error()
	}
	return string(b)
}
