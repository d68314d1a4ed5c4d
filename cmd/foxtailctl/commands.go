package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// documents holds the configuration documents from the files on the command line.
type documents struct {
	base     []byte
	overlays map[string][]byte
}

func readDocuments(cmd *cli.Command) (documents, error) {
	d := documents{overlays: map[string][]byte{}}
	var err error
	if path := cmd.String("base"); path != "" {
		if d.base, err = os.ReadFile(path); err != nil {
			return d, usageError{err}
		}
	}
	for _, pair := range cmd.StringSlice("overlay") {
		site, path, ok := strings.Cut(pair, "=")
		if !ok || site == "" || path == "" {
			return d, usageError{fmt.Errorf("--overlay %q: allowed is site=file", pair)}
		}
		if d.overlays[site] != nil {
			return d, usageError{fmt.Errorf("--overlay names site %s twice", site)}
		}
		if d.overlays[site], err = os.ReadFile(path); err != nil {
			return d, usageError{err}
		}
	}
	return d, nil
}

func (d documents) isEmpty() bool { return d.base == nil && len(d.overlays) == 0 }

// compile compiles the configuration that results when these documents replace those of a stored revision.
func (d documents) compile(stored config.Head, contents map[string][]byte) (map[string]*config.Site, error) {
	head := stored
	head.Overlays = maps.Clone(stored.Overlays)
	if head.Overlays == nil {
		head.Overlays = map[string]string{}
	}
	all := maps.Clone(contents)
	if all == nil {
		all = map[string][]byte{}
	}
	if d.base != nil {
		head.Base = config.Digest(d.base)
		all[head.Base] = d.base
	}
	for site, data := range d.overlays {
		head.Overlays[site] = config.Digest(data)
		all[head.Overlays[site]] = data
	}
	return config.CompileAll(head, all)
}

func (a *app) validate(_ context.Context, cmd *cli.Command) error {
	d, err := readDocuments(cmd)
	if err != nil {
		return err
	}
	if d.base == nil {
		return usageError{errors.New("--base is required")}
	}
	sites, err := d.compile(config.Head{}, nil)
	if err != nil {
		return err
	}
	return a.printSites(sites)
}

func (a *app) diff(ctx context.Context, cmd *cli.Command) error {
	d, err := readDocuments(cmd)
	if err != nil {
		return err
	}
	if d.isEmpty() != cmd.IsSet("to-revision") {
		return usageError{errors.New("either documents or --to-revision is required, but not both")}
	}
	_, store, err := a.openStore(cmd)
	if err != nil {
		return err
	}
	from, contents, err := loadRevision(ctx, store, cmd, "from-revision")
	if err != nil {
		return err
	}
	var old map[string]*config.Site
	if from.Revision > 0 {
		if old, err = config.CompileAll(from, contents); err != nil {
			return fmt.Errorf("revision %d: %w", from.Revision, err)
		}
	}
	to := from
	if d.isEmpty() {
		if to, contents, err = loadRevision(ctx, store, cmd, "to-revision"); err != nil {
			return err
		}
	}
	next, err := d.compile(to, contents)
	if err != nil {
		return err
	}
	return a.printDiff(from.Revision, old, next)
}

// loadRevision returns the head and the documents of the revision that a flag names, or of the active
// revision if the flag is not set.
func loadRevision(ctx context.Context, store *config.Store, cmd *cli.Command, flag string) (config.Head, map[string][]byte, error) {
	if cmd.IsSet(flag) {
		return store.DocumentsAt(ctx, cmd.Int64(flag))
	}
	head, err := store.Head(ctx)
	if err != nil {
		return head, nil, err
	}
	contents, err := store.Documents(ctx, head)
	return head, contents, err
}

func (a *app) apply(ctx context.Context, cmd *cli.Command) error {
	d, err := readDocuments(cmd)
	if err != nil {
		return err
	}
	if d.isEmpty() {
		return usageError{errors.New("--base, --overlay or both are required")}
	}
	if cmd.String("who") == "" {
		return usageError{errors.New("--who is required")}
	}
	kv, store, err := a.openStore(cmd)
	if err != nil {
		return err
	}
	attempt := cmd.String("attempt")
	if attempt == "" {
		attempt = entity.RandomHex(16)
	}
	head, err := store.Apply(ctx, config.ApplyRequest{
		BaseRevision: cmd.Int64("from-revision"),
		Base:         d.base,
		Overlays:     d.overlays,
		Who:          cmd.String("who"),
		Message:      cmd.String("message"),
		Attempt:      attempt,
	})
	if errors.Is(err, kvstore.ErrUnknown) {
		return fmt.Errorf("%w; repeat the command with --attempt %s to find out", err, attempt)
	}
	if err != nil {
		return err
	}
	return a.reportApply(ctx, kv, head, cmd.Duration("wait"))
}

// reportApply waits until all hosts have confirmed the revision of an apply and prints the outcome. If wait
// is not positive, it does not wait.
func (a *app) reportApply(ctx context.Context, kv kvstore.KV, head config.Head, wait time.Duration) error {
	result := applyResult{Head: head}
	if wait <= 0 {
		return a.printApply(result)
	}
	hosts, waitErr := waitForRevision(ctx, kv, head.Revision, wait)
	result.Hosts = hosts
	if err := a.printApply(result); err != nil {
		return err
	}
	if waitErr == nil && len(hosts) == 0 {
		a.log.Warn("No hosts are registered", "revision", head.Revision)
	}
	return waitErr
}

func (a *app) history(ctx context.Context, cmd *cli.Command) error {
	_, store, err := a.openStore(cmd)
	if err != nil {
		return err
	}
	heads, err := store.History(ctx, cmd.Int("limit"))
	if err != nil {
		return err
	}
	return a.printHistory(heads)
}

func (a *app) audit(ctx context.Context, cmd *cli.Command) error {
	_, store, err := a.openStore(cmd)
	if err != nil {
		return err
	}
	entries, err := store.Audit(ctx, cmd.Int("limit"))
	if err != nil {
		return err
	}
	return a.printAudit(entries)
}

func (a *app) status(ctx context.Context, cmd *cli.Command) error {
	kv, store, err := a.openStore(cmd)
	if err != nil {
		return err
	}
	head, err := store.Head(ctx)
	if err != nil {
		return err
	}
	hosts, err := listHosts(ctx, kv)
	if err != nil {
		return err
	}
	return a.printApply(applyResult{Head: head, Hosts: queryHosts(ctx, hosts, head.Revision)})
}

func (a *app) issueKey(ctx context.Context, cmd *cli.Command) error {
	_, store, err := a.openStore(cmd)
	if err != nil {
		return err
	}
	workspace := entity.WorkspaceID(cmd.Args().First())
	if !cmd.Bool("undeclared") {
		if err := checkWorkspaceDeclared(ctx, store, workspace); err != nil {
			return err
		}
	}
	plain, record, err := store.IssueKey(ctx, workspace, cmd.String("who"))
	if err != nil {
		return err
	}
	return a.printIssued(plain, record)
}

// checkWorkspaceDeclared returns an error if no site declares the workspace, so that no key is issued for a
// misspelled one.
func checkWorkspaceDeclared(ctx context.Context, store *config.Store, workspace entity.WorkspaceID) error {
	head, err := store.Head(ctx)
	if err != nil {
		return err
	}
	contents, err := store.Documents(ctx, head)
	if err != nil {
		return err
	}
	declared := map[entity.WorkspaceID]bool{}
	if head.Revision > 0 {
		sites, err := config.CompileAll(head, contents)
		if err != nil {
			return err
		}
		for _, site := range sites {
			for name := range site.Workspaces {
				declared[name] = true
			}
		}
	}
	if declared[workspace] {
		return nil
	}
	return usageError{fmt.Errorf("no site declares workspace %q, declared are %v; --undeclared allows it", workspace, slices.Sorted(maps.Keys(declared)))}
}

func (a *app) withdrawKey(ctx context.Context, cmd *cli.Command) error {
	_, store, err := a.openStore(cmd)
	if err != nil {
		return err
	}
	record, err := store.WithdrawKey(ctx, entity.KeyID(cmd.Args().First()), cmd.String("who"))
	if err != nil && !errors.Is(err, config.ErrAlreadyWithdrawn) {
		return err
	}
	return a.printKeys([]config.KeyRecord{record})
}

func (a *app) listKeys(ctx context.Context, cmd *cli.Command) error {
	_, store, err := a.openStore(cmd)
	if err != nil {
		return err
	}
	records, err := store.ListKeys(ctx)
	if err != nil {
		return err
	}
	return a.printKeys(records)
}

func (a *app) listHosts(ctx context.Context, cmd *cli.Command) error {
	kv, _, err := a.openStore(cmd)
	if err != nil {
		return err
	}
	hosts, err := listHosts(ctx, kv)
	if err != nil {
		return err
	}
	return a.printHosts(hosts)
}

func (a *app) confirmHostGone(ctx context.Context, cmd *cli.Command) error {
	kv, store, err := a.openStore(cmd)
	if err != nil {
		return err
	}
	id := entity.HostID(cmd.Args().First())
	incarnation := entity.Incarnation(cmd.String("incarnation"))
	if incarnation == "" {
		if incarnation, err = registeredIncarnation(ctx, kv, id); err != nil {
			return err
		}
	}
	record, err := store.ConfirmHostTerminated(ctx, id, incarnation, cmd.String("who"))
	if err != nil {
		return err
	}
	return a.printGoneHost(record)
}

// registeredIncarnation returns the incarnation with which the host is registered.
func registeredIncarnation(ctx context.Context, kv kvstore.KV, id entity.HostID) (entity.Incarnation, error) {
	hosts, err := listHosts(ctx, kv)
	if err != nil {
		return "", err
	}
	for _, h := range hosts {
		if h.ID == id {
			return h.Incarnation, nil
		}
	}
	return "", usageError{fmt.Errorf("host %s is not registered: give --incarnation", id)}
}
