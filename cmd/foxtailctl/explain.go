package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/foxtailpass/foxtailpass/internal/explain"
)

// explainCommand returns the command that prints the timeline of a request from log files.
func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print the timeline of one request from the log files of all hosts",
		ArgsUsage:   "<request ID> <log file>...",
		Description: "The name of a log file without its extension is the name of the host, unless the lines start with a host name. Lines that name the request are marked with an asterisk.",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := a.explain(ctx, cmd); err != nil {
				return actionError{err}
			}
			return nil
		},
	}
}

func (a *app) explain(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 {
		return usageError{errors.New("explain takes a request ID and at least one log file")}
	}
	var lines []explain.Line
	for _, path := range args[1:] {
		more, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	timeline, err := explain.BuildTimeline(lines, args[0])
	if err != nil {
		return err
	}
	return timeline.Write(a.out)
}

// readLog reads a log file. The host that wrote it is the file name without its extension, except for lines that
// start with another host name (see explain.Parse).
func readLog(path string) ([]explain.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("log file: %w", err)
	}
	defer f.Close()
	name := filepath.Base(path)
	lines, err := explain.Read(f, strings.TrimSuffix(name, filepath.Ext(name)))
	if err != nil {
		return nil, fmt.Errorf("log file %s: %w", path, err)
	}
	return lines, nil
}
