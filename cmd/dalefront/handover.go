package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"dalefront/internal/config"
	"dalefront/internal/peer"
)

// handOverCommand changes the leader, from any machine that reaches the controllers.
func handOverCommand(settings, operator *string) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use: "handover", Short: "Let another controller become leader; nothing that runs is stopped", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if *settings == "" {
				return fmt.Errorf("handover: --config is missing: the settings of any controller")
			}
			if wait <= 0 {
				return fmt.Errorf("handover: --wait must be above 0")
			}
			s, err := config.Load(*settings, *operator)
			if err != nil {
				return err
			}
			addrs := []string{s.PeerAddr}
			for _, m := range s.Members {
				addrs = append(addrs, m.Addr)
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), wait)
			defer cancel()
			c, err := peer.ChangeLeader(ctx, addrs)
			if errors.Is(err, peer.ErrNoLeader) || errors.Is(err, peer.ErrNoNewLeader) {
				return &exitError{exitLater, fmt.Errorf("handover: %w", err)}
			}
			if err != nil {
				return fmt.Errorf("handover: %w", err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s handed the term over: %s acts as leader under token %d after %v\n", c.From, c.To, c.Token, c.Took.Round(time.Millisecond))
			return nil
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 20*time.Second, "for another controller to act")
	return cmd
}
