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

// copies is the part of the command line about snapshots. Where nothing else is
// given, the directory and the key are those of the operator's settings.
type copies struct {
	settings, operator *string
	dir, keyFile       string
	share              float64
}

func snapshotCommand(settings, operator *string) *cobra.Command {
	c := &copies{settings: settings, operator: operator}
	root := &cobra.Command{Use: "snapshot", Short: "Consistent copies of the state: take, check, compare"}
	add := func(use, short string, args cobra.PositionalArgs, run func(out io.Writer, key []byte, args []string) error) *cobra.Command {
		cmd := &cobra.Command{Use: use, Short: short, Args: args, RunE: func(cmd *cobra.Command, args []string) error {
			key, err := c.key()
			if err != nil {
				return err
			}
			return run(cmd.OutOrStdout(), key, args)
		}}
		root.AddCommand(cmd)
		return cmd
	}
	root.PersistentFlags().StringVar(&c.dir, "dir", "", "directory of snapshots (default: snapshot_dir of the operator's settings)")
	root.PersistentFlags().StringVar(&c.keyFile, "key-file", "", "file with the secret (default: snapshot_key_file of the operator's settings)")
	take := add("take", "Write a copy of a site's state into the directory; needs --config", cobra.NoArgs, func(out io.Writer, key []byte, _ []string) error {
		dir, err := c.where()
		if err != nil {
			return err
		}
		store, _, err := c.store()
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
		defer stop()
		snap, err := snapshot.Take(ctx, store, snapshot.AllKeys, controller.Ephemeral, func() int64 { return time.Now().UnixMicro() })
		if err != nil {
			return err
		}
		path, err := snap.SaveFile(dir, key)
		if err == nil {
			fmt.Fprintf(out, "%s: %v\n", path, snap)
		}
		return err
	})
	take.Flags().Float64Var(&c.share, "share", 0.1, "share of the state service's limits to use")
	add("list", "List the snapshots of the directory, the newest first", cobra.NoArgs, func(out io.Writer, key []byte, _ []string) error {
		_, files, err := c.list(key)
		if err != nil {
			return err
		}
		for _, f := range files {
			if f.Err != nil {
				fmt.Fprintln(out, f.Err)
			} else {
				fmt.Fprintf(out, "%s: %d bytes, %v\n", f.Path, f.Bytes, f.Snapshot)
			}
		}
		return nil
	})
	add("export FILE", "Copy the newest whole snapshot of the directory to a file", cobra.ExactArgs(1), func(out io.Writer, key []byte, args []string) error {
		dir, files, err := c.list(key)
		if err != nil {
			return err
		}
		for _, f := range files {
			if f.Err == nil {
				if err := f.Snapshot.WriteFile(args[0], key); err != nil {
					return err
				}
				fmt.Fprintf(out, "%s: %v\n", args[0], f.Snapshot)
				return nil
			}
		}
		return fmt.Errorf("%s: no whole snapshot", dir)
	})
	add("verify FILE", "Check that a file is whole", cobra.ExactArgs(1), func(out io.Writer, key []byte, args []string) error {
		snap, err := snapshot.ReadFile(args[0], key)
		if err == nil {
			fmt.Fprintf(out, "%s: %v: whole\n", args[0], snap)
		}
		return err
	})
	add("show FILE", "Show what a file holds", cobra.ExactArgs(1), func(out io.Writer, key []byte, args []string) error {
		snap, err := snapshot.ReadFile(args[0], key)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, snap)
		for _, n := range snap.CountByKind() {
			fmt.Fprintf(out, "%-12s %9d keys %12d bytes  %s\n", n.Prefix, n.Keys, n.Bytes, controller.Describe(n.Prefix))
		}
		return nil
	})
	add("diff A B", "List what leads from one file to another", cobra.ExactArgs(2), func(out io.Writer, key []byte, args []string) error {
		a, err := snapshot.ReadFile(args[0], key)
		if err != nil {
			return err
		}
		b, err := snapshot.ReadFile(args[1], key)
		if err != nil {
			return err
		}
		for _, d := range snapshot.Diff(a, b) {
			fmt.Fprintln(out, d.Kind, d.Key)
		}
		return nil
	})
	return root
}

func restoreCommand(settings, operator *string) *cobra.Command {
	c := &copies{settings: settings, operator: operator}
	var o snapshot.RestoreOptions
	cmd := &cobra.Command{Use: "restore FILE", Short: "Write a snapshot into an empty state service; needs --config, and no controller running", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			key, err := c.key()
			if err != nil {
				return err
			}
			snap, err := snapshot.ReadFile(args[0], key)
			if err != nil {
				return err
			}
			store, ops, err := c.store()
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			out := cmd.OutOrStdout()
			o.MaxMutations, o.RetryWait = ops, time.Second
			last := time.Now()
			o.Progress = func(d snapshot.RestoreResult) {
				if time.Since(last) > 5*time.Second {
					last = time.Now()
					fmt.Fprintf(out, "%d of %d keys, revision %d\n", d.Written+d.Present, len(snap.Keys), d.Revision)
				}
			}
			d, err := snapshot.Restore(ctx, store, snap, o)
			fmt.Fprintf(out, "%d keys written, %d were there, revision %d after %d changes to raise it\n", d.Written, d.Present, d.Revision, d.RevisionRaises)
			if err != nil && !errors.Is(err, snapshot.ErrNotEmpty) {
				err = fmt.Errorf("not complete: %w; the same command goes on", err)
			}
			return err
		}}
	cmd.Flags().StringVar(&c.keyFile, "key-file", "", "file with the secret (default: snapshot_key_file of the operator's settings)")
	cmd.Flags().Float64Var(&c.share, "share", 0.8, "share of the state service's limits to use")
	cmd.Flags().BoolVar(&o.Merge, "merge", false, "write into a service that is not empty; nothing is overwritten")
	cmd.Flags().Uint64Var(&o.MinRevision, "revision", 0, "raise the service's revision at least so far: the highest token that workers may have seen")
	return cmd
}

// load reads the settings as far as they are given.
func (c *copies) load() (*config.Settings, error) {
	if *c.settings == "" {
		return nil, errors.New("--config is missing")
	}
	return config.Load(*c.settings, *c.operator)
}

func (c *copies) where() (string, error) {
	if c.dir != "" {
		return c.dir, nil
	}
	s, err := c.load()
	if err != nil {
		return "", fmt.Errorf("--dir or its setting: %w", err)
	}
	if s.Operator.SnapshotDir == "" {
		return "", errors.New("--dir is missing, and snapshot_dir is not set")
	}
	return s.Operator.SnapshotDir, nil
}

// list reads the snapshots of the directory, the newest first.
func (c *copies) list(key []byte) (dir string, files []snapshot.File, err error) {
	if dir, err = c.where(); err == nil {
		files, err = snapshot.ListFiles(dir, key)
	}
	return dir, files, err
}

func (c *copies) key() ([]byte, error) {
	file := c.keyFile
	if file == "" && *c.settings != "" {
		s, err := c.load()
		if err != nil {
			return nil, err
		}
		file = s.Operator.SnapshotKeyFile
	}
	if file == "" {
		return nil, nil
	}
	return snapshot.ReadKeyFile(file)
}

func (c *copies) store() (store *kvstore.Client, ops int, err error) {
	s, err := c.load()
	if err != nil {
		return nil, 0, err
	}
	if !(c.share > 0 && c.share <= 1) {
		return nil, 0, errors.New("--share: must be above 0 and at most 1")
	}
	d := &s.Deployment.State
	return kvstore.New(s.Endpoints.State, d.RPS*c.share, d.WriteRPS*c.share, 1), d.TxnOps, nil
}
