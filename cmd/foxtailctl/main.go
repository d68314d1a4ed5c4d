// Command foxtailctl is the operators' command-line program: it validates, checks, compares and applies
// configurations, issues and withdraws keys, and shows the state of a site.
//
// Exit codes: 0 success; 1 failure; 2 wrong usage or settings; 3 the configuration is not valid; 4 another
// change was applied first; 5 the key-value service is unavailable or the outcome of the change is unknown; 6
// the change is accepted, but not every host confirmed it in time; 7 check has warnings, but no errors.
//
// The exit code of check is 3 if there are errors, else 5 if the key-value service is set and does not answer, else 7 if
// there are warnings, and 0 if there is nothing to report. Without a key-value service, and with --offline, it checks
// the files alone.
package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/settings"
)

// version is set by the linker for releases.
var version = "dev"

// The exit codes.
const (
	exitOK = iota
	exitFailure
	exitUsage
	exitInvalid
	exitConflict
	exitUnavailable
	exitNotConfirmed
	exitWarnings
)

// Settings are the JSON settings of foxtailctl. Flags override them.
type Settings struct {
	// Endpoints lists the addresses of the key-value service.
	Endpoints []string `json:"endpoints" validate:"min=1,dive,ip_port"`
	// Prefix is put before every key.
	Prefix string `json:"prefix" default:"\"foxtailpass/\"" validate:"required,endswith=/"`
	// Timeout limits one call of the key-value service.
	Timeout settings.Duration `json:"timeout" default:"\"2s\"" validate:"gt=0"`
}

// openKV returns a client of the key-value service. Tests replace it.
var openKV = func(s Settings) (kvstore.KV, error) {
	return kvstore.NewClient(kvstore.Options{Endpoints: s.Endpoints, Prefix: s.Prefix, Timeout: s.Timeout.Std()})
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// The first signal cancels the running call. Then the default handling is restored, so that a second
	// signal ends the process.
	context.AfterFunc(ctx, stop)
	os.Exit(run(ctx, os.Args, os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	a := &app{
		out: stdout,
		log: log.NewWithOptions(stderr, log.Options{Prefix: "foxtailctl"}),
	}
	root := a.command()
	root.Writer = stdout
	root.ErrWriter = stderr
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	code := exitCode(err)
	a.reportError(err, code)
	return code
}

// actionError marks errors of actions; all other errors come from parsing the command line.
type actionError struct{ error }

func (e actionError) Unwrap() error { return e.error }

// usageError marks errors in arguments or settings.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// errNotConfirmed is returned when not every host confirmed a revision in time.
var errNotConfirmed = errors.New("not every host confirmed the revision in time")

func exitCode(err error) int {
	var (
		action   actionError
		usage    usageError
		wrong    *settings.Error
		invalid  *config.ValidationError
		conflict *config.ConflictError
		checked  *checkError
	)
	switch {
	case errors.As(err, &checked):
		return checked.code()
	case !errors.As(err, &action), errors.As(err, &usage), errors.As(err, &wrong):
		return exitUsage
	case errors.As(err, &invalid):
		return exitInvalid
	case errors.As(err, &conflict):
		return exitConflict
	case errors.Is(err, kvstore.ErrUnavailable), errors.Is(err, kvstore.ErrUnknown):
		return exitUnavailable
	case errors.Is(err, errNotConfirmed):
		return exitNotConfirmed
	}
	return exitFailure
}

// app holds the state that all commands share.
type app struct {
	out  io.Writer
	log  *log.Logger
	json bool
}

func (a *app) command() *cli.Command {
	base := &cli.StringFlag{Name: "base", Usage: "file with the base document"}
	overlay := &cli.StringSliceFlag{Name: "overlay", Usage: "`site=file` with the overlay of a site; may be repeated"}
	limit := &cli.IntFlag{Name: "limit", Usage: "number of entries, newest first", Value: 20}
	from := &cli.Int64Flag{Name: "from-revision", Usage: "revision that the change starts from; 0 means none"}
	return &cli.Command{
		Name:                      "foxtailctl",
		Usage:                     "control a foxtailpass installation",
		Version:                   version,
		DisableSliceFlagSeparator: true,
		ExitErrHandler:            func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "JSON `file` with endpoints, prefix and timeout", Sources: cli.EnvVars("FOXTAILCTL_SETTINGS")},
			&cli.StringSliceFlag{Name: "endpoint", Usage: "`IP:port` of the key-value service; may be repeated"},
			&cli.StringFlag{Name: "prefix", Usage: "key prefix of the installation", DefaultText: "from the settings"},
			&cli.DurationFlag{Name: "timeout", Usage: "time limit of one call of the key-value service", DefaultText: "from the settings"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "who", Usage: "operator `name` for the audit trail", Sources: cli.EnvVars("FOXTAILCTL_WHO", "USER")},
		},
		Action: a.requireSubcommand,
		Commands: []*cli.Command{
			{Name: "validate", Usage: "check documents without the key-value service", Flags: []cli.Flag{base, overlay}, Action: a.withArguments(0, a.validate)},
			a.checkCommand(base, overlay),
			{
				Name: "diff", Usage: "compare a stored revision with documents or with another revision",
				Flags: []cli.Flag{
					base, overlay,
					&cli.Int64Flag{Name: "from-revision", Usage: "stored revision to compare from", DefaultText: "the active one"},
					&cli.Int64Flag{Name: "to-revision", Usage: "stored revision to compare with instead of documents"},
				},
				Action: a.withArguments(0, a.diff),
			},
			{
				Name: "apply", Usage: "apply documents; documents that are not given stay as they are",
				Flags: []cli.Flag{
					base, overlay, from,
					&cli.StringFlag{Name: "message", Usage: "`text` for the audit trail"},
					&cli.StringFlag{Name: "attempt", Usage: "`ID` of an earlier attempt whose outcome is unknown"},
					&cli.DurationFlag{Name: "wait", Usage: "maximum time to wait until every host confirms the revision; 0 means not to wait"},
				},
				Action: a.withArguments(0, a.apply),
			},
			{Name: "history", Usage: "list configuration revisions", Flags: []cli.Flag{limit}, Action: a.withArguments(0, a.history)},
			{Name: "audit", Usage: "list accepted changes", Flags: []cli.Flag{limit}, Action: a.withArguments(0, a.audit)},
			{Name: "status", Usage: "show the active revision and the revision that each host reports", Action: a.withArguments(0, a.status)},
			a.keysCommand(),
			a.hostsCommand(),
			a.explainCommand(), a.quarantineCommand(),
		},
	}
}

func (a *app) keysCommand() *cli.Command {
	undeclared := &cli.BoolFlag{Name: "undeclared", Usage: "allow a workspace that no site declares yet"}
	return &cli.Command{
		Name: "keys", Usage: "manage caller keys", Action: a.requireSubcommand,
		Commands: []*cli.Command{
			{Name: "issue", Usage: "create a key; it is shown once", ArgsUsage: "<workspace>", Flags: []cli.Flag{undeclared}, Action: a.withArguments(1, a.issueKey)},
			{Name: "withdraw", Usage: "withdraw a key permanently", ArgsUsage: "<key ID>", Action: a.withArguments(1, a.withdrawKey)},
			{Name: "list", Usage: "list all keys", Action: a.withArguments(0, a.listKeys)},
		},
	}
}

func (a *app) hostsCommand() *cli.Command {
	incarnation := &cli.StringFlag{Name: "incarnation", Usage: "`incarnation` of the process", DefaultText: "the registered one"}
	return &cli.Command{
		Name: "hosts", Usage: "manage hosts", Action: a.requireSubcommand,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list registered hosts", Action: a.withArguments(0, a.listHosts)},
			{
				Name: "gone", Usage: "confirm that the process of a host no longer exists", ArgsUsage: "<host ID>",
				Description: "Confirm this only after you have checked it: other hosts then free the memory that the process had reserved.",
				Flags:       []cli.Flag{incarnation}, Action: a.withArguments(1, a.confirmHostGone),
			},
		},
	}
}

// requireSubcommand is the action of commands that only work with a subcommand. It shows the help and returns
// a usage error.
func (a *app) requireSubcommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return actionError{usageError{errors.New("unknown command " + cmd.Args().First())}}
	}
	if err := cli.ShowSubcommandHelp(cmd); err != nil {
		return actionError{err}
	}
	return actionError{usageError{errors.New("a command is required")}}
}

// withArguments returns the action of a command that takes a fixed number of arguments. It marks the errors
// of run as errors of an action.
func (a *app) withArguments(arguments int, run cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		a.json = cmd.Bool("json")
		if cmd.Args().Len() != arguments {
			return actionError{usageError{errors.New(cmd.FullName() + " takes " + argumentText(cmd))}}
		}
		if err := run(ctx, cmd); err != nil {
			return actionError{err}
		}
		return nil
	}
}

func argumentText(cmd *cli.Command) string {
	if cmd.ArgsUsage == "" {
		return "no arguments"
	}
	return "one argument: " + cmd.ArgsUsage
}

// openStore reads the settings, lets flags override them, and returns a client of the key-value service and
// the configuration store on it.
func (a *app) openStore(cmd *cli.Command) (kvstore.KV, *config.Store, error) {
	s, err := loadSettings(cmd)
	if err != nil {
		return nil, nil, err
	}
	kv, err := openKV(s)
	if err != nil {
		return nil, nil, usageError{err}
	}
	return kv, config.NewStore(kv), nil
}

func defaultSettings() Settings {
	return Settings{Prefix: "foxtailpass/", Timeout: settings.Duration(2 * time.Second)}
}

func timeoutFlag(cmd *cli.Command) settings.Duration {
	return settings.Duration(cmd.Duration("timeout"))
}

func loadSettings(cmd *cli.Command) (Settings, error) {
	s := defaultSettings()
	if path := cmd.String("settings"); path != "" {
		loaded, err := settings.Load[Settings](path)
		if err != nil {
			return s, err
		}
		s = loaded
	}
	if cmd.IsSet("endpoint") {
		s.Endpoints = cmd.StringSlice("endpoint")
	}
	if cmd.IsSet("prefix") {
		s.Prefix = cmd.String("prefix")
	}
	if cmd.IsSet("timeout") {
		s.Timeout = timeoutFlag(cmd)
	}
	return s, settings.Check("settings and flags", s)
}
