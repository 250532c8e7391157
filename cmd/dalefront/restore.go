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

// restoreSnapshot writes a snapshot into the state service. What was written remains if it fails:
// the same command continues.
func restoreSnapshot(out io.Writer, path string, flags *snapshotFlags, options snapshot.RestoreOptions) error {
	key, err := flags.key()
	if err != nil {
		return err
	}
	file, err := snapshot.ReadFile(path, key)
	if err != nil {
		return err
	}
	store, maxChanges, err := flags.store()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	options.MaxMutations, options.RetryWait = maxChanges, restoreRetryWait
	options.Progress = newRestoreProgress(out, len(file.Keys))
	done, err := snapshot.Restore(ctx, store, file, options)
	fmt.Fprintf(out, "%d keys written, %d were there, revision %d after %d changes to raise it\n", done.Written, done.Present, done.Revision, done.RevisionRaises)
	if err != nil && !errors.Is(err, snapshot.ErrNotEmpty) {
		return fmt.Errorf("not complete: %w; the same command goes on", err)
	}
	return err
}

// newRestoreProgress returns a function that prints now and then how far a restore is.
func newRestoreProgress(out io.Writer, keys int) func(snapshot.RestoreResult) {
	printed := time.Now()
	return func(done snapshot.RestoreResult) {
		if time.Since(printed) <= restoreProgressInterval {
			return
		}
		printed = time.Now()
		fmt.Fprintf(out, "%d of %d keys, revision %d\n", done.Written+done.Present, keys, done.Revision)
	}
}
