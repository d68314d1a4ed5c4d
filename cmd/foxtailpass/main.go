// Command foxtailpass is one host: it serves callers, routes their requests to model engines and plain
// services, and coordinates with the other hosts of the site.
//
// Exit codes: 0 after a graceful stop or a successful --check; 1 on a failure or an aborted stop; 2 on wrong
// usage or on settings that cannot be read or are not valid; 3 when a newer process has registered under the
// name of this host.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/foxtailpass/foxtailpass/internal/host"
	"github.com/foxtailpass/foxtailpass/internal/settings"
)

// The exit codes.
const (
	exitOK = iota
	exitFailure
	exitUsage
	exitSuperseded
)

// version is set by the linker for releases.
var version = ""

// errUsage marks errors of the command line and settings files that cannot be read or are not valid.
var errUsage = errors.New("wrong usage or settings")

// gcPercent lets the heap grow to five times the live heap before a collection. On one core a collection
// slows requests for about 30 ms, and the live heap is only about 30 MB.
const gcPercent = 400

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	os.Exit(run(os.Args, os.Stderr))
}

func run(args []string, stderr io.Writer) int {
	err := command(stderr).Run(context.Background(), args)
	if err == nil {
		return exitOK
	}
	log.NewWithOptions(stderr, log.Options{Prefix: "foxtailpass", ReportTimestamp: true}).Error("Stopped with an error.", "err", err)
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, host.ErrSuperseded):
		return exitSuperseded
	}
	return exitFailure
}

// buildVersion returns the version that the linker has set, or else that of the Go module.
func buildVersion() string {
	if version != "" {
		return version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "dev"
}

func command(stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:    "foxtailpass",
		Usage:   "serve rarely used language models",
		Version: buildVersion(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "JSON settings `file`", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("%w: unexpected argument %q", errUsage, c.Args().First())
			}
			s, err := settings.Load[host.Settings](c.String("settings"))
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			if c.Bool("check") {
				return nil
			}
			return serve(s, stderr)
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return fmt.Errorf("%w: %w", errUsage, err)
		},
	}
}

// serve runs the host. The first SIGTERM or SIGINT begins its graceful shutdown, a second one ends the host at
// once.
func serve(s host.Settings, stderr io.Writer) error {
	logger, err := host.NewLogger(stderr, s.Log)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	h, err := host.New(s, logger, buildVersion())
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := context.WithCancel(context.Background())
	abort, kill := context.WithCancel(context.Background())
	go func() {
		<-signals
		stop()
		<-signals
		kill()
	}()
	return h.Run(ctx, abort)
}
