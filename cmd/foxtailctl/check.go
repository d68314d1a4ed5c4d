package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/config/check"
	"github.com/foxtailpass/foxtailpass/internal/config/finding"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// checkCommand returns the command that checks documents before they are applied.
func (a *app) checkCommand(base, overlay cli.Flag) *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "look for errors, entries without effect and contradicting limits before documents are applied",
		Description: "With --platform, the configuration of entry hosts beside the users' platform (foxtailedge) is checked instead of documents.\n" +
			"Documents that are not given are those in force. With a key-value service (--settings, --endpoint), keys and upstreams are\n" +
			"looked at and the differences from the revision in force are listed; without one, the files are checked alone.\n" +
			"Exit codes: 0 nothing to report, 3 errors, 7 warnings, 5 the key-value service or the store does not answer.",
		Flags: []cli.Flag{
			base, overlay,
			&cli.StringFlag{Name: "site", Usage: "`site` whose upstreams the key-value service lists; needed if there are several sites"},
			&cli.BoolFlag{Name: "offline", Usage: "check the files alone, even if a key-value service is set"},
			&cli.StringFlag{Name: "platform", Usage: "`file` with a configuration in the form of the users' platform"},
			&cli.StringFlag{Name: "in-force", Usage: "with --platform: `file` with the configuration in force"},
			&cli.StringFlag{Name: "store", Usage: "with --platform: `IP:port` of the platform's store, which has the configuration in force and the replicas"},
			&cli.StringSliceFlag{Name: "replicas", Usage: "with --platform: `service=number` of replicas; may be repeated"},
			&cli.FloatFlag{Name: "slot-tokens-per-s", Usage: "with --platform: `number` of tokens that one slot of an engine serves in a second"},
		},
		Action: a.withArguments(0, func(ctx context.Context, cmd *cli.Command) error {
			if cmd.IsSet("platform") {
				return a.checkPlatform(ctx, cmd)
			}
			return a.check(ctx, cmd)
		}),
	}
}

// checkError is returned by check when the report, which is already printed, is not clean.
type checkError struct {
	errors, warnings int
	// service is the error of the key-value service, if it was set but could not be read.
	service error
}

func (e *checkError) Error() string { return checkSummary(e.errors, e.warnings) }

func (e *checkError) code() int {
	switch {
	case e.errors > 0:
		return exitInvalid
	case e.service != nil:
		return exitCode(actionError{e.service})
	}
	return exitWarnings
}

func checkSummary(errors, warnings int) string {
	return plural(errors, "error") + ", " + plural(warnings, "warning")
}

// plural returns a number with its noun.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func (a *app) check(ctx context.Context, cmd *cli.Command) error {
	if err := refuseFlags(cmd, "needs --platform", "in-force", "store", "replicas", "slot-tokens-per-s"); err != nil {
		return err
	}
	d, err := readDocuments(cmd)
	if err != nil {
		return err
	}
	in := check.Input{Base: check.File{Name: cmd.String("base"), Data: d.base}, Overlays: map[string]check.File{}}
	for _, pair := range cmd.StringSlice("overlay") {
		site, path, _ := strings.Cut(pair, "=")
		in.Overlays[site] = check.File{Name: path, Data: d.overlays[site]}
	}
	serviceErr, err := a.addService(ctx, cmd, &in)
	if err != nil {
		return err
	}
	if site := cmd.String("site"); site != "" {
		if _, known := in.Overlays[site]; !known {
			return usageError{fmt.Errorf("--site %s: this site has no overlay, sites with an overlay are %v", site, slices.Sorted(maps.Keys(in.Overlays)))}
		}
	}
	report := check.Run(in)
	if err := a.printCheck(report); err != nil {
		return err
	}
	return checkResult(report.Findings, serviceErr)
}

// checkResult returns the error of a check whose report has been printed, nil if there is nothing to report. serviceErr is
// the error of the key-value service.
func checkResult(findings []finding.Finding, serviceErr error) error {
	result := &checkError{finding.Count(findings, finding.Error), finding.Count(findings, finding.Warning), serviceErr}
	if result.errors+result.warnings == 0 && serviceErr == nil {
		return nil
	}
	return result
}

// refuseFlags returns an error if one of the flags is set.
func refuseFlags(cmd *cli.Command, why string, names ...string) error {
	for _, name := range names {
		if cmd.IsSet(name) {
			return usageError{fmt.Errorf("--%s %s", name, why)}
		}
	}
	return nil
}

// addService adds the content of the key-value service to the input of a check, and the documents in force in place of
// those that are not given. If the service cannot be read, it returns the reason as unavailable; the files can be checked
// all the same.
func (a *app) addService(ctx context.Context, cmd *cli.Command, in *check.Input) (unavailable, err error) {
	switch {
	case cmd.Bool("offline"):
		in.ServiceMissing = "--offline is set"
	case cmd.String("settings") == "" && !cmd.IsSet("endpoint"):
		in.ServiceMissing = "no key-value service is set (--settings or --endpoint)"
	default:
		kv, store, err := a.openStore(cmd)
		if err != nil {
			return nil, err
		}
		head, service, err := readService(ctx, kv, store)
		if err != nil {
			unavailable = err
			in.ServiceMissing = "the key-value service cannot be read: " + err.Error()
			break
		}
		service.UpstreamsSite = cmd.String("site")
		in.Service = service
		useStored(in, head)
	}
	if in.Base.Data == nil && unavailable != nil {
		return nil, unavailable
	}
	if in.Base.Data == nil {
		why := in.ServiceMissing
		if in.Service != nil {
			why = "no configuration is in force"
		}
		return nil, usageError{errors.New("--base is required: " + why)}
	}
	return unavailable, nil
}

// useStored fills in the documents in force that the command line does not replace.
func useStored(in *check.Input, head config.Head) {
	stored := func(name, digest string) check.File {
		return check.File{Name: fmt.Sprintf("revision %d, %s", head.Revision, name), Data: in.Service.Documents[digest], Stored: true}
	}
	if head.Revision > 0 && in.Base.Data == nil {
		in.Base = stored("base", head.Base)
	}
	for site, digest := range head.Overlays {
		if _, given := in.Overlays[site]; !given {
			in.Overlays[site] = stored("overlay "+site, digest)
		}
	}
}

// readService reads the configuration in force, the keys and the list of upstreams.
func readService(ctx context.Context, kv kvstore.KV, store *config.Store) (config.Head, *check.Service, error) {
	s := &check.Service{}
	head, err := store.Head(ctx)
	if err != nil {
		return head, nil, err
	}
	s.Revision = head.Revision
	if s.Documents, err = store.Documents(ctx, head); err != nil {
		return head, nil, err
	}
	if head.Revision > 0 {
		s.InForce, s.InForceFault = config.CompileAll(head, s.Documents)
	}
	if s.Keys, err = store.ListKeys(ctx); err != nil {
		return head, nil, err
	}
	result, err := kv.Range(ctx, kvstore.RangeRequest{Prefix: config.UpstreamsPrefix})
	if err != nil {
		return head, nil, err
	}
	s.Upstreams = make([]config.UpstreamRecord, len(result.Pairs))
	for i, pair := range result.Pairs {
		if err := json.Unmarshal(pair.Value, &s.Upstreams[i]); err != nil {
			return head, nil, fmt.Errorf("upstream %s is damaged: %w", pair.Key, err)
		}
	}
	return head, s, nil
}

// maxListedChanges bounds the changes of one site in the text of a check; diff and --json list all.
const maxListedChanges = 20

func (a *app) printCheck(r check.Report) error {
	return a.print(r, func(w *tabwriter.Writer) {
		printFindings(w, r.Findings)
		if c := r.Comparison; c != nil && c.Revision == 0 {
			fmt.Fprintln(w, "no configuration is in force")
		} else if c != nil {
			for _, site := range slices.Sorted(maps.Keys(c.Sites)) {
				printSiteChanges(w, site, c)
			}
		}
		printCheckEnd(w, r.Findings, r.NotChecked)
	})
}

func printFindings(w *tabwriter.Writer, findings []finding.Finding) {
	for _, f := range findings {
		fmt.Fprintln(w, f)
		if f.Hint != "" {
			fmt.Fprintln(w, "    hint: "+finding.Printable(f.Hint))
		}
	}
}

// printCheckEnd prints what was not checked, and how many findings there are.
func printCheckEnd(w *tabwriter.Writer, findings []finding.Finding, gaps []finding.Gap) {
	for _, gap := range gaps {
		fmt.Fprintln(w, finding.Printable(fmt.Sprintf("not checked: %s: %s", gap.What, gap.Why)))
	}
	fmt.Fprintln(w, checkSummary(finding.Count(findings, finding.Error), finding.Count(findings, finding.Warning)))
}

// printChanges prints the first changes.
func printChanges(w *tabwriter.Writer, changes []finding.Change, listAll string) {
	for _, change := range changes[:min(len(changes), maxListedChanges)] {
		fmt.Fprintln(w, "  "+change.String())
	}
	if more := len(changes) - maxListedChanges; more > 0 {
		fmt.Fprintf(w, "  and %d more; %s lists all\n", more, listAll)
	}
}

func printSiteChanges(w *tabwriter.Writer, site string, c *check.Comparison) {
	label := "site " + site
	if site == "" {
		label = "base document alone"
	}
	if slices.Contains(c.NewSites, site) {
		fmt.Fprintf(w, "%s: not in revision %d\n", label, c.Revision)
		return
	}
	changes := c.Sites[site]
	fmt.Fprintf(w, "%s: %s from revision %d\n", label, plural(len(changes), "change"), c.Revision)
	printChanges(w, changes, "diff")
}
