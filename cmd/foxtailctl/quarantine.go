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

// quarantineCommand returns the commands about requests, and parts of prompts, that crash replicas. They ask any entry
// host at its operator address.
func (a *app) quarantineCommand() *cli.Command {
	host := &cli.StringFlag{Name: "host", Usage: "`IP:port` of the operator port of any entry host", Required: true}
	service := &cli.StringFlag{Name: "service", Usage: "`name` of the service of a part; without it, the argument is the digest of a request"}
	return &cli.Command{
		Name: "quarantine", Usage: "list and release requests, and parts of prompts, that crash replicas", Action: a.requireSubcommand,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list what is quarantined with the replicas that ended under it", Flags: []cli.Flag{host}, Action: a.withArguments(0, a.listQuarantine)},
			{Name: "release", Usage: "send a request, or requests with a part, to replicas again", ArgsUsage: "<part ID or request digest>", Flags: []cli.Flag{host, service}, Action: a.withArguments(1, a.releaseTrait)},
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
		fmt.Fprintln(w, "SERVICE\tPART\tREQUEST\tPROBES\tREPLICAS")
		for _, e := range entries {
			var replicas []string
			for _, id := range e.Replicas {
				replicas = append(replicas, string(id))
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", e.Service, e.Part, e.Request, e.Probes, strings.Join(replicas, " "))
		}
	})
}

func (a *app) releaseTrait(ctx context.Context, cmd *cli.Command) error {
	query := url.Values{"who": {cmd.String("who")}}
	if service := cmd.String("service"); service != "" {
		query.Set("service", service)
		query.Set("part", cmd.Args().First())
	} else {
		query.Set("request", cmd.Args().First())
	}
	_, err := askHost(ctx, http.MethodPost, cmd.String("host"), "/quarantine/release", query)
	if errors.Is(err, statusError(http.StatusNotFound)) {
		return errors.New("it is not quarantined at this host")
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
