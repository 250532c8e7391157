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

	"dalefront/internal/config"
	"dalefront/internal/controller"
	"dalefront/internal/kvstore"
	"dalefront/internal/snapshot"
)

// Default shares of the state service's rate limits that the commands may use. A restore may use most of
// the limits, because nothing else needs the state service during a restore.
const (
	defaultTakeShare    = 0.1
	defaultRestoreShare = 0.8
)

// snapshotFlags are the flags of commands about snapshots. The directory and the key file default to those in
// the operator's settings.
type snapshotFlags struct {
	global  *globalFlags
	dir     string
	keyFile string
	share   float64 // share of the state service's rate limits, above 0 and at most 1
}

func newSnapshotCommand(global *globalFlags) *cobra.Command {
	flags := &snapshotFlags{global: global}
	root := &cobra.Command{Use: "snapshot", Short: "Consistent copies of the state: take, check, compare"}
	root.PersistentFlags().StringVar(&flags.dir, "dir", "", "directory of snapshots (default: snapshot_dir of the operator's settings)")
	flags.addKeyFile(root.PersistentFlags().StringVar)
	take := flags.newCommand("take", "Write a copy of a site's state into the directory; needs --config", cobra.NoArgs, flags.take)
	take.Flags().Float64Var(&flags.share, "share", defaultTakeShare, "share of the state service's limits to use")
	root.AddCommand(
		take,
		flags.newCommand("list", "List the snapshots of the directory, the newest first", cobra.NoArgs, flags.list),
		flags.newCommand("export FILE", "Copy the newest whole snapshot of the directory to a file", cobra.ExactArgs(1), flags.export),
		flags.newCommand("verify FILE", "Check that a file is whole", cobra.ExactArgs(1), verifySnapshot),
		flags.newCommand("show FILE", "Show what a file holds", cobra.ExactArgs(1), showSnapshot),
		flags.newCommand("diff A B", "List what leads from one file to another", cobra.ExactArgs(2), diffSnapshots),
	)
	return root
}

func (f *snapshotFlags) addKeyFile(stringVar func(p *string, name, value, usage string)) {
	stringVar(&f.keyFile, "key-file", "", "file with the secret (default: snapshot_key_file of the operator's settings)")
}

// newCommand returns a command whose implementation gets the key that signs snapshots, or nil if none is set.
func (f *snapshotFlags) newCommand(use, short string, args cobra.PositionalArgs, run func(out io.Writer, key []byte, args []string) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: args, RunE: func(cmd *cobra.Command, args []string) error {
		key, err := f.readKey()
		if err != nil {
			return err
		}
		return run(cmd.OutOrStdout(), key, args)
	}}
}

// take writes a snapshot of a site's state to the directory.
func (f *snapshotFlags) take(out io.Writer, key []byte, _ []string) error {
	dir, err := f.directory()
	if err != nil {
		return err
	}
	store, _, err := f.newStore()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	now := func() int64 { return time.Now().UnixMicro() }
	snap, err := snapshot.Take(ctx, store, snapshot.AllKeys, controller.ExcludedFromSnapshot, now)
	if err != nil {
		return err
	}
	path, err := snap.SaveFile(dir, key)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %v\n", path, snap)
	return nil
}

// list prints the snapshots in the directory, and the errors of the files that are invalid.
func (f *snapshotFlags) list(out io.Writer, key []byte, _ []string) error {
	_, files, err := f.listFiles(key)
	if err != nil {
		return err
	}
	for _, file := range files {
		if file.Err != nil {
			fmt.Fprintln(out, file.Err)
		} else {
			fmt.Fprintf(out, "%s: %d bytes, %v\n", file.Path, file.Bytes, file.Snapshot)
		}
	}
	return nil
}

// export copies the newest valid snapshot in the directory to a file.
func (f *snapshotFlags) export(out io.Writer, key []byte, args []string) error {
	dir, files, err := f.listFiles(key)
	if err != nil {
		return err
	}
	for _, file := range files {
		if file.Err != nil {
			continue
		}
		if err := file.Snapshot.WriteFile(args[0], key); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: %v\n", args[0], file.Snapshot)
		return nil
	}
	return fmt.Errorf("%s: no valid snapshot", dir)
}

func verifySnapshot(out io.Writer, key []byte, args []string) error {
	file, err := snapshot.ReadFile(args[0], key)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %v: whole\n", args[0], file)
	return nil
}

func showSnapshot(out io.Writer, key []byte, args []string) error {
	file, err := snapshot.ReadFile(args[0], key)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, file)
	for _, count := range file.CountByKind() {
		fmt.Fprintf(out, "%-12s %9d keys %12d bytes  %s\n", count.Prefix, count.Keys, count.Bytes, controller.DescribeKeyPrefix(count.Prefix))
	}
	return nil
}

func diffSnapshots(out io.Writer, key []byte, args []string) error {
	from, err := snapshot.ReadFile(args[0], key)
	if err != nil {
		return err
	}
	to, err := snapshot.ReadFile(args[1], key)
	if err != nil {
		return err
	}
	for _, difference := range snapshot.Diff(from, to) {
		fmt.Fprintln(out, difference.Kind, difference.Key)
	}
	return nil
}

// loadSettings loads the settings that the global flags name.
func (f *snapshotFlags) loadSettings() (*config.Settings, error) {
	if f.global.settingsFile == "" {
		return nil, errors.New("--config is missing")
	}
	return config.Load(f.global.settingsFile, f.global.operatorFile)
}

// directory returns the directory of the snapshots.
func (f *snapshotFlags) directory() (string, error) {
	if f.dir != "" {
		return f.dir, nil
	}
	settings, err := f.loadSettings()
	if err != nil {
		return "", fmt.Errorf("--dir or its setting: %w", err)
	}
	if settings.Operator.SnapshotDir == "" {
		return "", errors.New("--dir is missing, and snapshot_dir is not set")
	}
	return settings.Operator.SnapshotDir, nil
}

// listFiles reads the snapshots in the directory and returns them newest first.
func (f *snapshotFlags) listFiles(key []byte) (dir string, files []snapshot.File, err error) {
	if dir, err = f.directory(); err != nil {
		return "", nil, err
	}
	files, err = snapshot.ListFiles(dir, key)
	return dir, files, err
}

// readKey returns the secret that signs snapshots, or nil if none is set.
func (f *snapshotFlags) readKey() ([]byte, error) {
	file := f.keyFile
	if file == "" && f.global.settingsFile != "" {
		settings, err := f.loadSettings()
		if err != nil {
			return nil, err
		}
		file = settings.Operator.SnapshotKeyFile
	}
	if file == "" {
		return nil, nil
	}
	return snapshot.ReadKeyFile(file)
}

// newStore returns a client of the state service that uses at most the flags' share of the rate limits, and
// the maximum number of mutations in a transaction.
func (f *snapshotFlags) newStore() (store *kvstore.Client, maxMutations int, err error) {
	settings, err := f.loadSettings()
	if err != nil {
		return nil, 0, err
	}
	if !(f.share > 0 && f.share <= 1) {
		return nil, 0, errors.New("--share: must be above 0 and at most 1")
	}
	limits := &settings.Deployment.State
	store = kvstore.New(settings.Endpoints.State, limits.RPS*f.share, limits.WriteRPS*f.share, 1)
	return store, limits.TxnOps, nil
}
