package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"dalefront/internal/config"
	"dalefront/internal/controller"
)

// Values of --log-format.
const (
	logFormatText = "text"
	logFormatJSON = "json"
)

// serve runs a controller until it fails or is told to end.
func serve(flags *globalFlags, logFormat string) error {
	settings, err := config.Load(flags.settings, flags.operator)
	if err != nil {
		return err
	}
	handler, err := newLogHandler(os.Stderr, logFormat, os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	limitMemory(settings.Deployment.Resources.RAMMB)
	node, err := controller.New(settings, slog.New(handler))
	if err != nil {
		return err
	}
	stop := handleSignals(node)
	defer stop()
	return node.Run(context.Background())
}

// newLogHandler returns the handler of a log format; a level that is not known means info.
func newLogHandler(out io.Writer, format, levelName string) (slog.Handler, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(levelName)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level}
	switch format {
	case logFormatText:
		return slog.NewTextHandler(out, options), nil
	case logFormatJSON:
		return slog.NewJSONHandler(out, options), nil
	}
	return nil, fmt.Errorf("--log-format: %q is neither text nor json", format)
}

const (
	// gcPercent lets the garbage collector be lazy: the processor is scarcer than memory.
	gcPercent = 400
	// gcMemoryShare is the part of the process's memory above which the collector works harder,
	// since past the platform's limit the process is killed.
	gcMemoryShare = 0.6

	bytesPerMB = 1 << 20
)

func limitMemory(megabytes float64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(megabytes * gcMemoryShare * bytesPerMB))
}

// handleSignals lets the controller drain on the first SIGTERM or interrupt, and transfer
// leadership on each SIGUSR1. The goroutines end with stop; the signals stay caught, so that one
// that comes late does not end the process in another way.
func handleSignals(node *controller.Controller) (stop func()) {
	drain := make(chan os.Signal, 1)
	signal.Notify(drain, syscall.SIGTERM, os.Interrupt)
	transfer := make(chan os.Signal, 1)
	signal.Notify(transfer, syscall.SIGUSR1)
	ended := make(chan struct{})
	go func() {
		select {
		case <-drain:
			signal.Stop(drain) // the second one ends the process
			node.Drain()
		case <-ended:
		}
	}()
	go func() {
		for {
			select {
			case <-transfer:
				node.TransferLeadership()
			case <-ended:
				return
			}
		}
	}()
	return func() { close(ended) }
}
