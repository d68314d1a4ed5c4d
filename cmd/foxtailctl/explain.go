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

// explainCommand tells the story of a request from log files.
func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell the story of one request from the log files of all hosts",
		ArgsUsage:   "<request ID> <log file>...",
		Description: "A file with the log of one host is taken for the host that its name says. Lines of the request are marked with an asterisk.",
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
	story, err := explain.Tell(lines, args[0])
	if err != nil {
		return err
	}
	return story.Write(a.out)
}

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
