// Package program holds what the command line tools share: signals, exit codes and the version.
package program

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"
)

// Exit codes of the tools.
const (
	ExitFailure  = 1
	ExitSettings = 2
)

// Main runs a tool and returns its exit code: 0 on success, ExitSettings for errors that wrap
// settings, and ExitFailure for all others. The first SIGTERM or SIGINT ends the context of the
// command; a second one ends the process.
func Main(name string, build func(*log.Logger) *cli.Command, settings error) int {
	logger := log.NewWithOptions(os.Stderr, log.Options{Prefix: name, ReportTimestamp: true})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// After the first signal the default handling is back.
	context.AfterFunc(ctx, stop)
	err := build(logger).Run(ctx, os.Args)
	if err == nil {
		return 0
	}
	logger.Error("Command failed.", "err", err)
	if errors.Is(err, settings) {
		return ExitSettings
	}
	return ExitFailure
}

// Version returns the version that the build has recorded, or "unknown".
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
