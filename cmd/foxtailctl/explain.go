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
		Description: "A log file is assigned to the host that its file name gives. Lines of the request are marked with an asterisk.",
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

// readLog reads a log file of the host that the file name gives, without its extension.
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
