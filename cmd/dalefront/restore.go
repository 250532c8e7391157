package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"dalefront/internal/snapshot"
)

const (
	restoreRetryWait        = time.Second
	restoreProgressInterval = 5 * time.Second
)

func newRestoreCommand(global *globalFlags) *cobra.Command {
	flags := &snapshotFlags{global: global}
	var options snapshot.RestoreOptions
	cmd := &cobra.Command{
		Use: "restore FILE", Short: "Write a snapshot into an empty state service; needs --config, and no controller running", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return restoreSnapshot(cmd.OutOrStdout(), args[0], flags, options)
		},
	}
	flags.addKeyFile(cmd.Flags().StringVar)
	cmd.Flags().Float64Var(&flags.share, "share", defaultRestoreShare, "share of the state service's limits to use")
	cmd.Flags().BoolVar(&options.Merge, "merge", false, "write into a service that is not empty; nothing is overwritten")
	cmd.Flags().Uint64Var(&options.MinRevision, "revision", 0, "raise the service's revision at least so far: the highest token that workers may have seen")
	return cmd
}

// restoreSnapshot writes a snapshot into the state service. After a failure, the keys written so far remain,
// and the same command continues the restore.
func restoreSnapshot(out io.Writer, path string, flags *snapshotFlags, options snapshot.RestoreOptions) error {
	key, err := flags.readKey()
	if err != nil {
		return err
	}
	file, err := snapshot.ReadFile(path, key)
	if err != nil {
		return err
	}
	store, maxMutations, err := flags.newStore()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	options.MaxMutations, options.RetryWait = maxMutations, restoreRetryWait
	options.Progress = newRestoreProgress(out, len(file.Keys))
	result, err := snapshot.Restore(ctx, store, file, options)
	fmt.Fprintf(out, "%d keys written, %d were there, revision %d after %d changes to raise it\n", result.Written, result.AlreadyPresent, result.Revision, result.RevisionRaises)
	if err != nil && !errors.Is(err, snapshot.ErrNotEmpty) {
		return fmt.Errorf("restore incomplete: %w; run the same command again to continue", err)
	}
	return err
}

// newRestoreProgress returns a function that prints the progress of a restore, at most once per
// restoreProgressInterval.
func newRestoreProgress(out io.Writer, keys int) func(snapshot.RestoreResult) {
	lastPrint := time.Now()
	return func(result snapshot.RestoreResult) {
		if time.Since(lastPrint) <= restoreProgressInterval {
			return
		}
		lastPrint = time.Now()
		fmt.Fprintf(out, "%d of %d keys, revision %d\n", result.Written+result.AlreadyPresent, keys, result.Revision)
	}
}
