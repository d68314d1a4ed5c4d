// Package check reports the faults of a configuration before it is sent: what Apply would refuse, and what it would
// accept although an operator can hardly mean it. The code is pure: documents, the configuration in force, keys and
// upstreams are passed in. What was not passed in is not guessed; the report lists it as not checked.
package check

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/config/finding"
	"github.com/foxtailpass/foxtailpass/internal/config/strictjson"
)

// The types of findings are shared with the checks of other forms of configuration.
type (
	Severity = finding.Severity
	Code     = finding.Code
	Finding  = finding.Finding
	Gap      = finding.Gap
)

// The severities. An error means that Apply refuses the configuration.
const (
	Error   = finding.Error
	Warning = finding.Warning
)

// Comparison lists the differences from the configuration in force to the checked one.
type Comparison struct {
	// Revision is the revision in force; zero if none has been applied.
	Revision int64                      `json:"revision"`
	Sites    map[string][]config.Change `json:"sites"`
	// NewSites lists the sites that are not in force.
	NewSites []string `json:"new_sites,omitempty"`
}

// Report is the result of a check.
type Report struct {
	// Findings are ordered by severity, file, line, path and code.
	Findings   []Finding `json:"findings"`
	NotChecked []Gap     `json:"not_checked"`
	// Comparison is nil if the comparison was not made; NotChecked then says why.
	Comparison *Comparison `json:"comparison,omitempty"`
}

// Count returns the number of findings with a severity.
func (r Report) Count(s Severity) int { return finding.Count(r.Findings, s) }

// File is a document with the name under which findings refer to it.
type File struct {
	Name string
	Data []byte
	// Stored is true for a document of the configuration in force. It is stored without line breaks, so that findings
	// name no line of it.
	Stored bool
}

// Input is what Run checks.
type Input struct {
	Base File
	// Overlays maps site names to overlays. Without overlays, the base document alone is checked.
	Overlays map[string]File
	// Service is what the key-value service holds; nil if it was not read. ServiceMissing says why.
	Service        *Service
	ServiceMissing string
}

// Service is the content of the key-value service that a check needs.
type Service struct {
	// Revision is the revision in force; zero if none has been applied.
	Revision int64
	// Documents holds the stored documents by digest.
	Documents map[string][]byte
	// InForce holds the sites in force. InForceFault is set if this build cannot compile them.
	InForce      map[string]*config.Site
	InForceFault error
	Keys         []config.KeyRecord
	Upstreams    []config.UpstreamRecord
	// UpstreamsSite is the site whose upstreams are listed. If it is empty and there are several sites, upstreams are
	// not checked: their records do not name a site.
	UpstreamsSite string
}

// Run checks a configuration.
func Run(in Input) Report {
	r := &run{in: in, sites: map[string]*config.Site{}, locations: map[string]*strictjson.Locations{}}
	r.compile()
	for _, name := range slices.Sorted(maps.Keys(r.sites)) {
		s := siteRun{run: r, name: name, site: r.sites[name]}
		s.checkPermissions()
		s.checkRoutes()
		s.checkLimits()
		s.checkOverlay()
		if in.Service != nil {
			s.checkUpstreams()
		}
	}
	if in.Service == nil {
		r.gap("upstreams, keys, and the differences from the version in force", in.ServiceMissing)
	} else {
		r.checkKeys()
		r.compare()
	}
	r.gap("rates of the workspaces against the capacity of the engines",
		"neither the documents nor the list of upstreams say how many tokens an engine serves")
	return Report{Findings: r.sorted(), NotChecked: r.gaps, Comparison: r.comparison}
}

// run is the state of one check.
type run struct {
	in Input
	// sites holds the sites without errors.
	sites      map[string]*config.Site
	findings   []Finding
	gaps       []Gap
	comparison *Comparison
	// locations caches the locations of fields by file name.
	locations map[string]*strictjson.Locations
}

func (r *run) gap(what, why string) { r.gaps = append(r.gaps, Gap{What: what, Why: why}) }

// siteNames returns the names of the sites to check. The name of the base document alone is empty.
func (r *run) siteNames() []string {
	if len(r.in.Overlays) == 0 {
		return []string{""}
	}
	return slices.Sorted(maps.Keys(r.in.Overlays))
}

// compile compiles all sites as Apply does, and adds the faults as errors.
func (r *run) compile() {
	seen := map[config.FieldError]bool{}
	overlays := map[string][]byte{}
	for _, name := range r.siteNames() {
		overlays[name] = r.in.Overlays[name].Data
		site, err := config.Compile(name, 0, r.in.Base.Data, overlays[name])
		if err == nil {
			r.sites[name] = site
			continue
		}
		r.gap("permissions, routes, limits and upstreams"+ofSite(name), "it has errors")
		r.addFaults(err, seen)
	}
	if len(r.findings) > 0 {
		return
	}
	delete(overlays, "")
	var stored map[string][]byte
	if r.in.Service != nil {
		stored = r.in.Service.Documents
	}
	if err := config.CheckSize(r.in.Base.Data, overlays, stored); err != nil {
		r.addFaults(err, seen)
	}
}

// addFaults adds the faults of a *config.ValidationError. Faults of the base document occur at every site and are added
// once.
func (r *run) addFaults(err error, seen map[config.FieldError]bool) {
	var invalid *config.ValidationError
	if !errors.As(err, &invalid) {
		panic(fmt.Sprintf("check: %v", err))
	}
	for _, fault := range invalid.Fields {
		if !seen[fault] {
			seen[fault] = true
			r.findings = append(r.findings, r.asFinding(fault))
		}
	}
}

// asFinding returns the error for a fault. The document of a fault is the base document, an overlay, or the merged
// configuration of a site; none is a fault of all documents together.
func (r *run) asFinding(fault config.FieldError) Finding {
	f := Finding{Severity: Error, Code: Invalid, Path: fault.Path, Message: fault.Reason}
	if fault.Allowed != "" {
		f.Hint = "allowed: " + fault.Allowed
	}
	site, isMerged := strings.CutPrefix(fault.Document, "site ")
	overlay, isOverlay := strings.CutPrefix(fault.Document, "overlay ")
	switch {
	case fault.Document == "":
		f.Code = TooLarge
	case isMerged:
		f.Sites = []string{site}
		r.locate(&f, site)
	case isOverlay:
		r.locateIn(&f, r.in.Overlays[overlay])
	default:
		r.locateIn(&f, r.in.Base)
	}
	return f
}

// locationsIn returns the locations of the fields of a file.
func (r *run) locationsIn(file File) *strictjson.Locations {
	l, ok := r.locations[file.Name]
	if !ok {
		l = strictjson.Locate(file.Data)
		r.locations[file.Name] = l
	}
	return l
}

// locateIn sets the place of a finding about one file. If the file is not valid JSON, it is the place of the fault.
func (r *run) locateIn(f *Finding, file File) {
	f.File = file.Name
	if file.Stored {
		return
	}
	l := r.locationsIn(file)
	f.Line, _ = l.Line(f.Path)
	if f.Path == "" && l.FaultLine() > 0 {
		f.Line = l.FaultLine()
	}
}

// locate sets the place of a finding about the merged configuration of a site: the overlay has precedence if it gives
// the field, or as much of its path as the base document.
func (r *run) locate(f *Finding, site string) {
	file := r.in.Base
	if overlay, ok := r.in.Overlays[site]; ok && len(overlay.Data) > 0 {
		_, inBase := r.locationsIn(file).Line(f.Path)
		if _, inOverlay := r.locationsIn(overlay).Line(f.Path); inOverlay <= inBase {
			file = overlay
		}
	}
	r.locateIn(f, file)
}

// sorted returns the findings in a stable order. A warning that several sites have at the same place is listed once.
func (r *run) sorted() []Finding {
	type place struct {
		code                      Code
		file, path, message, hint string
		line                      int
	}
	at := map[place]int{}
	out := []Finding{}
	for _, f := range r.findings {
		p := place{f.Code, f.File, f.Path, f.Message, f.Hint, f.Line}
		if i, ok := at[p]; ok && len(f.Sites) > 0 {
			out[i].Sites = append(out[i].Sites, f.Sites...)
			continue
		}
		at[p] = len(out)
		out = append(out, f)
	}
	for _, f := range out {
		slices.Sort(f.Sites)
	}
	finding.Sort(out)
	return out
}

// compare lists the differences from the configuration in force.
func (r *run) compare() {
	const what = "differences from the version in force"
	s := r.in.Service
	switch {
	case s.InForceFault != nil:
		r.gap(what, fmt.Sprintf("this build cannot compile revision %d: %v", s.Revision, s.InForceFault))
	case len(r.sites) < len(r.siteNames()):
		r.gap(what, "the configuration has errors")
	default:
		r.comparison = &Comparison{Revision: s.Revision, Sites: map[string][]config.Change{}}
		for name := range s.InForce {
			r.comparison.Sites[name] = config.Diff(s.InForce[name], r.sites[name])
		}
		for name := range r.sites {
			r.comparison.Sites[name] = config.Diff(s.InForce[name], r.sites[name])
		}
		r.checkNewSites(s)
	}
}

// checkNewSites warns of sites that are not in force, because a misspelled site name is accepted as a new site that no
// host reads.
func (r *run) checkNewSites(s *Service) {
	_, baseAlone := s.InForce[""]
	for _, name := range slices.Sorted(maps.Keys(r.sites)) {
		if _, ok := s.InForce[name]; ok {
			continue
		}
		r.comparison.NewSites = append(r.comparison.NewSites, name)
		if s.Revision > 0 && !baseAlone {
			r.findings = append(r.findings, Finding{
				Severity: Warning, Code: NewSite, Sites: []string{name}, File: r.in.Overlays[name].Name,
				Message: fmt.Sprintf("the site is not in revision %d, which has %s", s.Revision, names(slices.Sorted(maps.Keys(s.InForce)))),
				Hint:    "check the name of the site; if the site is new, ignore this",
			})
		}
	}
}

func ofSite(name string) string {
	if name == "" {
		return ""
	}
	return " of site " + name
}

// maxNames bounds the names in one message.
const maxNames = 5

// names returns a list of names for a message, cut to maxNames.
func names[T ~string](list []T) string {
	if len(list) == 0 {
		return "none"
	}
	var out []string
	for _, n := range list[:min(len(list), maxNames)] {
		out = append(out, string(n))
	}
	text := strings.Join(out, ", ")
	if more := len(list) - maxNames; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}
