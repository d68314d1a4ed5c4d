package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/platform"
)

// checkPlatform checks a configuration in the form of the users' platform.
func (a *app) checkPlatform(ctx context.Context, cmd *cli.Command) error {
	if err := refuseFlags(cmd, "does not go with --platform", "base", "overlay", "site", "offline"); err != nil {
		return err
	}
	in, err := readPlatformInput(cmd)
	if err != nil {
		return err
	}
	var storeErr error
	if addr := cmd.String("store"); addr != "" {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return usageError{fmt.Errorf("--store %q: allowed is IP:port", addr)}
		}
		timeout := defaultSettings().Timeout
		if cmd.IsSet("timeout") {
			timeout = timeoutFlag(cmd)
		}
		store := platform.NewStore(addr, timeout.Std(), slog.New(slog.DiscardHandler))
		if storeErr = addPlatformStore(ctx, store, &in); storeErr != nil {
			in.InForceMissing = "the store cannot be read: " + storeErr.Error()
		}
	}
	report := platform.CheckConfiguration(in)
	if err := a.printPlatformCheck(report, in.File); err != nil {
		return err
	}
	return checkResult(report.Findings, storeErr)
}

// readPlatformInput reads the files and the numbers on the command line.
func readPlatformInput(cmd *cli.Command) (platform.CheckInput, error) {
	in := platform.CheckInput{
		File: cmd.String("platform"), InForceMissing: "it is not given (--in-force or --store)",
		Replicas: map[string]int{}, SlotTokensPerSecond: cmd.Float("slot-tokens-per-s"),
	}
	if in.SlotTokensPerSecond < 0 || cmd.IsSet("slot-tokens-per-s") && in.SlotTokensPerSecond == 0 {
		return in, usageError{errors.New("--slot-tokens-per-s: allowed is a number above 0")}
	}
	var err error
	if in.Data, err = os.ReadFile(in.File); err != nil {
		return in, usageError{err}
	}
	if path := cmd.String("in-force"); path != "" {
		if cmd.IsSet("store") {
			return in, usageError{errors.New("--in-force does not go with --store")}
		}
		if in.InForce, err = os.ReadFile(path); err != nil {
			return in, usageError{err}
		}
	}
	for _, pair := range cmd.StringSlice("replicas") {
		service, number, _ := strings.Cut(pair, "=")
		n, err := strconv.Atoi(number)
		if err != nil || service == "" || n < 0 {
			return in, usageError{fmt.Errorf("--replicas %q: allowed is service=number", pair)}
		}
		in.Replicas[service] = n
	}
	return in, nil
}

// addPlatformStore adds the configuration in force, and the number of replicas of the services for which the command line
// gives none.
func addPlatformStore(ctx context.Context, store kvstore.KV, in *platform.CheckInput) error {
	pair, _, err := store.Get(ctx, platform.ConfigKey)
	if err != nil {
		return err
	}
	in.InForceMissing = "no configuration is in force"
	if pair != nil {
		in.InForce = pair.Value
	}
	entries, err := store.Range(ctx, kvstore.RangeRequest{Prefix: platform.ServersPrefix})
	if err != nil {
		return err
	}
	counted := map[string]int{}
	for _, e := range entries.Pairs {
		// Hosts ignore an entry that cannot be decoded, too.
		if u, err := platform.New().DecodeUpstream(e.Key, e.Value); err == nil && !u.Draining {
			counted[string(u.Service)]++
		}
	}
	for service, n := range counted {
		if _, given := in.Replicas[service]; !given {
			in.Replicas[service] = n
		}
	}
	return nil
}

func (a *app) printPlatformCheck(r platform.CheckReport, file string) error {
	return a.print(r, func(w *tabwriter.Writer) {
		printFindings(w, r.Findings)
		if c := r.Comparison; c != nil {
			fmt.Fprintf(w, "%s: %s from version %d\n", file, plural(len(c.Changes), "change"), c.Version)
			printChanges(w, c.Changes, "--json")
		}
		printCheckEnd(w, r.Findings, r.NotChecked)
	})
}
