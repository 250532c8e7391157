package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"dalefront/internal/config"
	"dalefront/internal/dynconfig"
	"dalefront/internal/peer"
)

// newConfigCommand returns the commands that change and show the dynamic configuration of the controllers.
func newConfigCommand(flags *globalFlags) *cobra.Command {
	root := &cobra.Command{Use: "config", Short: "Change and show the configuration that all controllers follow while they run"}
	root.AddCommand(
		newConfigApplyCommand(flags),
		newConfigRollbackCommand(flags),
		newConfigGetCommand(flags),
		newConfigDiffCommand(flags),
		newConfigHistoryCommand(flags),
		newConfigStatusCommand(flags),
	)
	return root
}

// anyGeneration is the value of --if-generation with which a change is applied whichever generation of the
// configuration is active.
const anyGeneration = -1

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	dryRun       bool
	ifGeneration int64 // number of the configuration's generation that must be active, or anyGeneration
	author       string
}

func (f *changeFlags) add(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&f.dryRun, "dry-run", false, "only say what would change")
	cmd.Flags().Int64Var(&f.ifGeneration, "if-generation", anyGeneration, "change nothing if another generation is in force")
	cmd.Flags().StringVar(&f.author, "by", os.Getenv("USER"), "who changes it, for the history")
}

// newRequest returns a request that contains no changes yet. The ID of the request makes retries idempotent.
func (f *changeFlags) newRequest() *peer.ConfigApplyRequest {
	id := fmt.Sprintf("%x-%08x", time.Now().UnixMicro(), rand.Uint32())
	request := &peer.ConfigApplyRequest{ID: id, Author: f.author, DryRun: f.dryRun}
	if f.ifGeneration >= 0 {
		generation := uint64(f.ifGeneration)
		request.IfGeneration = &generation
	}
	return request
}

// send sends a request to the controllers and prints its outcome.
func (f *changeFlags) send(cmd *cobra.Command, client *configClient, request *peer.ConfigApplyRequest) error {
	response, err := client.apply(cmd.Context(), request)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	switch response.Outcome {
	case peer.ConfigApplied:
		for _, change := range response.Changes {
			printChange(out, &change)
		}
		if f.dryRun {
			fmt.Fprintf(out, "would be generation %d\n", response.Generation)
		} else {
			fmt.Fprintf(out, "generation %d\n", response.Generation)
		}
		return nil
	case peer.ConfigUnchanged:
		fmt.Fprintf(out, "nothing changes: generation %d\n", response.Generation)
		return nil
	}
	return errors.New(response.Reason)
}

// sendFiles sends the changes that the files contain.
func (f *changeFlags) sendFiles(cmd *cobra.Command, client *configClient, files []string) error {
	changes, err := loadChanges(client.settings, files)
	if err != nil {
		return err
	}
	request := f.newRequest()
	request.Changes = changes
	return f.send(cmd, client, request)
}

// loadChanges reads the changes from several files. A document in two of the files is an error.
func loadChanges(settings *config.Settings, files []string) ([]dynconfig.Change, error) {
	var all []dynconfig.Change
	pathByID := map[string]string{} // path of the file that contains a document, by the document's ID
	for _, path := range files {
		changes, err := dynconfig.LoadFile(path, settings)
		if err != nil {
			return nil, err
		}
		for _, change := range changes {
			if otherPath, found := pathByID[change.ID()]; found {
				return nil, fmt.Errorf("%s: %s is in %s too", path, change.ID(), otherPath)
			}
			pathByID[change.ID()] = path
		}
		all = append(all, changes...)
	}
	return all, nil
}

func newConfigApplyCommand(global *globalFlags) *cobra.Command {
	var flags changeFlags
	cmd := &cobra.Command{
		Use: "apply FILE...", Short: "Store documents, as one generation", Args: cobra.MinimumNArgs(1),
		RunE: withControllers(global, flags.sendFiles),
	}
	flags.add(cmd)
	return cmd
}

func newConfigDiffCommand(global *globalFlags) *cobra.Command {
	flags := changeFlags{dryRun: true, ifGeneration: anyGeneration}
	return &cobra.Command{
		Use: "diff FILE...", Short: "Show what applying files would change", Args: cobra.MinimumNArgs(1),
		RunE: withControllers(global, flags.sendFiles),
	}
}

func newConfigRollbackCommand(global *globalFlags) *cobra.Command {
	var flags changeFlags
	rollBack := func(cmd *cobra.Command, client *configClient, args []string) error {
		generation, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a generation number", args[0])
		}
		request := flags.newRequest()
		request.RollbackTo = &generation
		return flags.send(cmd, client, request)
	}
	cmd := &cobra.Command{
		Use: "rollback GENERATION", Short: "Store the documents as they were at a generation, as a new one", Args: cobra.ExactArgs(1),
		RunE: withControllers(global, rollBack),
	}
	flags.add(cmd)
	return cmd
}

func newConfigGetCommand(global *globalFlags) *cobra.Command {
	var asJSON bool
	get := func(cmd *cobra.Command, client *configClient, args []string) error {
		response, err := client.read(cmd.Context(), false)
		if err != nil {
			return err
		}
		if len(args) > 0 {
			id := args[0]
			response.Documents = slices.DeleteFunc(response.Documents, func(document dynconfig.Document) bool { return document.ID() != id })
			if len(response.Documents) == 0 {
				return fmt.Errorf("there is no document %s", id)
			}
		}
		return printDocuments(cmd.OutOrStdout(), response, asJSON)
	}
	cmd := &cobra.Command{
		Use: "get [KIND/NAME]", Short: "Show the documents in force", Args: cobra.MaximumNArgs(1),
		RunE: withControllers(global, get),
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

func newConfigHistoryCommand(global *globalFlags) *cobra.Command {
	var asJSON bool
	show := func(cmd *cobra.Command, client *configClient, _ []string) error {
		response, err := client.read(cmd.Context(), true)
		if err != nil {
			return err
		}
		return printHistory(cmd.OutOrStdout(), response.History, asJSON)
	}
	cmd := &cobra.Command{
		Use: "history", Short: "Show the generations that are kept, the newest first", Args: cobra.NoArgs,
		RunE: withControllers(global, show),
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

// statusInterval is the polling interval of `config status --wait`.
const statusInterval = 100 * time.Millisecond

// statusFlags are the flags of `config status`.
type statusFlags struct {
	asJSON bool
	wait   time.Duration // the maximum time to wait until all controllers use the stored generation; 0 means no wait
}

func newConfigStatusCommand(global *globalFlags) *cobra.Command {
	var flags statusFlags
	cmd := &cobra.Command{
		Use: "status", Short: "Show the generation in force at each controller, and since when", Args: cobra.NoArgs,
		RunE: withControllers(global, flags.show),
	}
	cmd.Flags().BoolVar(&flags.asJSON, "json", false, "as JSON")
	cmd.Flags().DurationVar(&flags.wait, "wait", 0, "until the stored generation is in force everywhere, at most so long")
	return cmd
}

// show waits until all controllers use the stored generation, at most for the duration of --wait. Then it
// prints the generation that each controller uses.
func (f *statusFlags) show(cmd *cobra.Command, client *configClient, _ []string) error {
	ctx := cmd.Context()
	stored, err := client.read(ctx, false)
	if err != nil {
		return err
	}
	statuses := client.status(ctx)
	for start := time.Now(); !allAtGeneration(statuses, stored.Generation) && time.Since(start) < f.wait; statuses = client.status(ctx) {
		time.Sleep(statusInterval)
	}
	if err := printStatus(cmd.OutOrStdout(), stored.Generation, statuses, f.asJSON); err != nil {
		return err
	}
	if f.wait > 0 && !allAtGeneration(statuses, stored.Generation) {
		return &exitError{exitUnavailable, fmt.Errorf("generation %d is not active on all controllers after %v", stored.Generation, f.wait)}
	}
	return nil
}

// allAtGeneration reports whether all controllers use the given generation of the configuration or
// a later generation.
func allAtGeneration(statuses []controllerStatus, generation uint64) bool {
	return !slices.ContainsFunc(statuses, func(controller controllerStatus) bool {
		return !controller.Loaded || controller.Generation < generation
	})
}
