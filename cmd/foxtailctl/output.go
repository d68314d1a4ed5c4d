package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/settings"
)

// print writes v as JSON if the flag --json is set. Otherwise it calls text with a writer that aligns columns.
func (a *app) print(v any, text func(w *tabwriter.Writer)) error {
	if a.json {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}

// errorReport is the JSON form of a failed command.
type errorReport struct {
	Error    string                `json:"error"`
	ExitCode int                   `json:"exit_code"`
	Fields   []config.FieldError   `json:"fields,omitempty"`
	Conflict *config.ConflictError `json:"conflict,omitempty"`
}

func (a *app) reportError(err error, code int) {
	// The report of a check is already printed, and names the error of the service as the reason for what was not checked.
	var checked *checkError
	if errors.As(err, &checked) {
		if checked.service != nil && !a.json {
			a.log.Error(checked.service.Error(), "exit_code", code)
		}
		return
	}
	// With errNotConfirmed the outcome of the apply is already printed as JSON. A second JSON value would
	// break scripts.
	if !a.json || errors.Is(err, errNotConfirmed) {
		a.log.Error(err.Error(), "exit_code", code)
		return
	}
	report := errorReport{Error: err.Error(), ExitCode: code}
	var invalid *config.ValidationError
	var wrong *settings.Error
	if errors.As(err, &invalid) {
		report.Fields = invalid.Fields
	}
	if errors.As(err, &wrong) {
		report.Fields = wrong.Fields
	}
	errors.As(err, &report.Conflict)
	if err := a.print(report, nil); err != nil {
		a.log.Error("The report cannot be written", "error", err)
	}
}

// siteCounts is the number of entities that a site declares, by kind.
type siteCounts struct {
	Site       string `json:"site"`
	Models     int    `json:"models"`
	Adapters   int    `json:"adapters"`
	Workspaces int    `json:"workspaces"`
	Routes     int    `json:"routes"`
}

func (a *app) printSites(sites map[string]*config.Site) error {
	out := []siteCounts{}
	for _, name := range slices.Sorted(maps.Keys(sites)) {
		site := sites[name]
		counts := siteCounts{Site: name, Models: len(site.Models), Workspaces: len(site.Workspaces), Routes: len(site.Routes)}
		for _, m := range site.Models {
			counts.Adapters += len(m.Adapters)
		}
		out = append(out, counts)
	}
	return a.print(out, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "SITE\tMODELS\tADAPTERS\tWORKSPACES\tROUTES")
		for _, c := range out {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", c.Site, c.Models, c.Adapters, c.Workspaces, c.Routes)
		}
	})
}

func (a *app) printDiff(from int64, old, next map[string]*config.Site) error {
	out := struct {
		From  int64                      `json:"from_revision"`
		Sites map[string][]config.Change `json:"sites"`
	}{from, map[string][]config.Change{}}
	for name := range old {
		out.Sites[name] = config.Diff(old[name], next[name])
	}
	for name := range next {
		out.Sites[name] = config.Diff(old[name], next[name])
	}
	return a.print(out, func(w *tabwriter.Writer) {
		for _, name := range slices.Sorted(maps.Keys(out.Sites)) {
			fmt.Fprintf(w, "site %s: %d changes from revision %d\n", name, len(out.Sites[name]), from)
			for _, c := range out.Sites[name] {
				fmt.Fprintln(w, "  "+c.String())
			}
		}
	})
}

// applyResult is a configuration revision and the results of the status queries to the hosts.
type applyResult struct {
	Head  config.Head  `json:"head"`
	Hosts []hostStatus `json:"hosts,omitempty"`
}

func (a *app) printApply(r applyResult) error {
	return a.print(r, func(w *tabwriter.Writer) {
		if r.Head.Revision == 0 {
			fmt.Fprintln(w, "no configuration has been applied")
		} else {
			fmt.Fprintf(w, "revision %d by %s at %s\n", r.Head.Revision, r.Head.Who, formatTime(r.Head.When))
		}
		for _, h := range r.Hosts {
			state := "confirmed"
			if !h.Confirmed {
				state = "not confirmed"
			}
			fmt.Fprintf(w, "%s\t%s\trevision %d\t%s\t%s\n", h.Host, h.Address, h.Revision, state, h.Error)
		}
	})
}

func (a *app) printHistory(heads []config.Head) error {
	return a.print(heads, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "REVISION\tWHEN\tWHO\tSITES\tMESSAGE")
		for _, h := range heads {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", h.Revision, formatTime(h.When), h.Who, strings.Join(h.Sites(), ","), h.Message)
		}
	})
}

func (a *app) printAudit(entries []config.AuditEntry) error {
	return a.print(entries, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "NUMBER\tWHEN\tWHO\tKIND\tSUBJECT\tMESSAGE")
		for _, e := range entries {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", e.Number, formatTime(e.When), e.Who, e.Kind, auditSubject(e), e.Message)
		}
	})
}

// auditSubject returns the text for the object that an audit entry is about.
func auditSubject(e config.AuditEntry) string {
	switch e.Kind {
	case config.AuditApply:
		return fmt.Sprintf("revision %d", e.Revision)
	case config.AuditHostTerminated:
		return fmt.Sprintf("%s/%s", e.Host, e.Incarnation)
	}
	return fmt.Sprintf("%s of %s", e.Key, e.Workspace)
}

func (a *app) printIssued(plain string, record config.KeyRecord) error {
	out := struct {
		Key    string           `json:"key"`
		Record config.KeyRecord `json:"record"`
	}{plain, record}
	return a.print(out, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "key\t%s\nid\t%s\nworkspace\t%s\n", plain, record.ID, record.Workspace)
	})
}

func (a *app) printKeys(records []config.KeyRecord) error {
	return a.print(records, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "ID\tWORKSPACE\tISSUED\tWITHDRAWN")
		for _, r := range records {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.ID, r.Workspace, formatTime(r.Issued), formatTime(r.Withdrawn))
		}
	})
}

func (a *app) printHosts(hosts []config.HostRecord) error {
	return a.print(hosts, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "HOST\tINCARNATION\tSTATE\tDOMAIN\tOPERATOR ADDRESS\tSTARTED")
		for _, h := range hosts {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", h.ID, h.Incarnation, h.State, h.FailureDomain, h.OperatorAddr, formatTime(h.Started))
		}
	})
}

func (a *app) printGoneHost(r config.TerminatedHostRecord) error {
	return a.print(r, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "host %s, incarnation %s: gone, confirmed by %s at %s\n", r.Host, r.Incarnation, r.Who, formatTime(r.When))
	})
}

// formatTime formats a time as RFC 3339, and the zero time as a dash.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format(time.RFC3339)
}
