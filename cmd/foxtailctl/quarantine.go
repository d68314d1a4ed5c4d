package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/foxtailpass/foxtailpass/internal/quarantine"
)

// quarantineCommand returns the commands about parts of prompts that crash engines. They ask any entry host at its
// operator address.
func (a *app) quarantineCommand() *cli.Command {
	host := &cli.StringFlag{Name: "host", Usage: "`IP:port` of the operator port of any entry host", Required: true}
	service := &cli.StringFlag{Name: "service", Usage: "`name` of the service", Required: true}
	return &cli.Command{
		Name: "quarantine", Usage: "list and release parts of prompts that crash engines", Action: a.requireSubcommand,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the quarantined parts with the engines that ended under them", Flags: []cli.Flag{host}, Action: a.withArguments(0, a.listQuarantine)},
			{Name: "release", Usage: "send requests with a part to engines again", ArgsUsage: "<part ID>", Flags: []cli.Flag{host, service}, Action: a.withArguments(1, a.releasePart)},
		},
	}
}

func (a *app) listQuarantine(ctx context.Context, cmd *cli.Command) error {
	body, err := askHost(ctx, http.MethodGet, cmd.String("host"), "/quarantine", nil)
	if err != nil {
		return hostError(err)
	}
	var entries []quarantine.Entry
	if err := json.Unmarshal(body, &entries); err != nil {
		return fmt.Errorf("answer of the host: %w", err)
	}
	return a.print(entries, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "SERVICE\tPART\tPROBES\tENGINES")
		for _, e := range entries {
			var engines []string
			for _, id := range e.Engines {
				engines = append(engines, string(id))
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", e.Service, e.Part, e.Probes, strings.Join(engines, " "))
		}
	})
}

func (a *app) releasePart(ctx context.Context, cmd *cli.Command) error {
	query := url.Values{"service": {cmd.String("service")}, "part": {cmd.Args().First()}, "who": {cmd.String("who")}}
	_, err := askHost(ctx, http.MethodPost, cmd.String("host"), "/quarantine/release", query)
	if errors.Is(err, statusError(http.StatusNotFound)) {
		return errors.New("the part is not quarantined at this host")
	}
	return hostError(err)
}

// hostError adds to the status of an answer who gave it.
func hostError(err error) error {
	var status statusError
	if errors.As(err, &status) {
		return fmt.Errorf("the host answered %w", err)
	}
	return err
}
