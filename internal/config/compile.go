package config

import (
	"cmp"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/foxtailpass/foxtailpass/internal/config/strictjson"
	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// FieldError is one fault of a configuration, with its document, path, reason and the allowed values.
type FieldError = strictjson.FieldError

// ValidationError contains all faults that were found in a configuration.
type ValidationError struct {
	Fields []FieldError `json:"fields"`
}

// Error lists all faults, one per line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Fields)+1)
	lines = append(lines, "config: the configuration is not valid:")
	for _, f := range e.Fields {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// namePattern is the form of names, and segmentPattern that of a path segment of a route prefix. Names must not contain
// / and :, because they become parts of keys of the key-value service and of the notation model:adapter.
var (
	namePattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	segmentPattern = regexp.MustCompile(`^[A-Za-z0-9._~-]+$`)
)

const (
	nameAllowed   = "1 to 128 letters, digits, dots, underscores and dashes, the first a letter or digit"
	prefixAllowed = "a path that starts and ends with / and has at least one segment of letters, digits, . _ ~ or -"
	// reservedSegment is the first path segment of the model API.
	reservedSegment = "v1"
)

var documentType = reflect.TypeFor[Document]()

// Compile merges the overlay of the named site into the base document, fills in defaults and validates the
// result as a whole. An empty overlay changes nothing. revision is the configuration revision of the result. A
// returned error is a *ValidationError.
func Compile(name string, revision int64, base, overlay []byte) (*Site, error) {
	if len(overlay) == 0 {
		overlay = []byte("{}")
	}
	overlayName := "overlay " + name
	faults := checkDocument("base", base, false)
	faults = append(faults, checkDocument(overlayName, overlay, true)...)
	if name != "" && !namePattern.MatchString(name) {
		faults = append(faults, FieldError{Document: overlayName, Reason: fmt.Sprintf("site name is %q", name), Allowed: nameAllowed})
	}
	if len(faults) > 0 {
		return nil, &ValidationError{Fields: faults}
	}
	merged, err := jsonpatch.MergePatch(base, overlay)
	if err != nil {
		return nil, &ValidationError{Fields: []FieldError{{Document: overlayName, Reason: "cannot be merged: " + err.Error()}}}
	}
	site := &Site{Revision: revision, Name: name}
	faults = decodeMerged(merged, &site.Document)
	if len(faults) > 0 {
		return nil, &ValidationError{Fields: setDocument(mergedName(name), faults)}
	}
	return site, nil
}

// mergedName returns the document name of a merged configuration in a FieldError.
func mergedName(site string) string {
	if site == "" {
		return "base"
	}
	return "site " + site
}

// checkDocument parses a document and checks the types of its fields. If patch is set, the document is an overlay, in
// which a null value deletes a field.
func checkDocument(name string, data []byte, patch bool) []FieldError {
	tree, faults := strictjson.Parse(data)
	if tree != nil {
		faults = append(faults, strictjson.Check(tree, documentType, patch)...)
	}
	return setDocument(name, faults)
}

// decodeMerged fills the defaults into a merged document, decodes it into d and validates it.
func decodeMerged(merged []byte, d *Document) []FieldError {
	tree, faults := strictjson.Parse(merged)
	if len(faults) > 0 {
		return faults
	}
	if faults := strictjson.Check(tree, documentType, false); len(faults) > 0 {
		return faults
	}
	strictjson.FillDefaults(tree, documentType)
	if err := strictjson.Decode(tree, d); err != nil {
		return []FieldError{{Reason: err.Error()}}
	}
	faults = append(strictjson.Validate(d), crossCheck(d)...)
	slices.SortStableFunc(faults, func(a, b FieldError) int { return cmp.Compare(a.Path, b.Path) })
	return faults
}

// setDocument sets the document name of all faults.
func setDocument(document string, faults []FieldError) []FieldError {
	for i := range faults {
		faults[i].Document = document
	}
	return faults
}

type crossChecker struct {
	doc    *Document
	faults []FieldError
	// mostExpensive is the prefix of the route that charges most. It is found once, because a configuration can have
	// 10,000 routes and 1,000 workspaces that may call all of them.
	mostExpensive string
}

// crossCheck returns the faults that the validate tag of a single field cannot express: malformed map keys, references
// to undeclared names, and conflicts between fields.
func crossCheck(d *Document) []FieldError {
	c := crossChecker{doc: d}
	for name, m := range d.Models {
		c.checkModel(name, m)
	}
	for prefix, r := range d.Routes {
		c.checkRoute(prefix)
		if !r.Open && c.chargesMore(prefix, c.mostExpensive) {
			c.mostExpensive = prefix
		}
	}
	for name, w := range d.Workspaces {
		c.checkWorkspace(name, w)
	}
	return c.faults
}

func (c *crossChecker) addFault(path, reason, allowed string) {
	c.faults = append(c.faults, FieldError{Path: path, Reason: reason, Allowed: allowed})
}

// name checks that the name at path matches namePattern, and adds a fault if not.
func (c *crossChecker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.addFault(path, fmt.Sprintf("name is %q", name), nameAllowed)
	}
}

func (c *crossChecker) checkModel(name entity.ModelID, m Model) {
	path := fmt.Sprintf("models[%s]", name)
	c.name(path, string(name))
	for adapter := range m.Adapters {
		c.name(fmt.Sprintf("%s.adapters[%s]", path, adapter), string(adapter))
	}
	if m.MinReplicas > m.MaxReplicas {
		c.addFault(path+".min_replicas", fmt.Sprintf("is %d", m.MinReplicas), fmt.Sprintf("at most max_replicas, which is %d", m.MaxReplicas))
	}
}

func (c *crossChecker) checkRoute(prefix string) {
	path := fmt.Sprintf("routes[%s]", prefix)
	segments := strings.Split(prefix, "/")
	if len(segments) < 3 || segments[0] != "" || segments[len(segments)-1] != "" {
		c.addFault(path, "prefix is malformed", prefixAllowed)
		return
	}
	segments = segments[1 : len(segments)-1]
	for _, s := range segments {
		if !segmentPattern.MatchString(s) || s == "." || s == ".." {
			c.addFault(path, "prefix is malformed", prefixAllowed)
			return
		}
	}
	if strings.EqualFold(segments[0], reservedSegment) {
		c.addFault(path, "prefix shadows the model API", "a prefix outside /v1/")
	}
}

func (c *crossChecker) checkWorkspace(name entity.WorkspaceID, w Workspace) {
	path := fmt.Sprintf("workspaces[%s]", name)
	c.name(path, string(name))
	checkReferences(c, path+".models", "a declared model or *", w.Models, c.doc.Models)
	checkReferences(c, path+".routes", "a declared route prefix or *", w.Routes, c.doc.Routes)
	if prefix := c.mostExpensiveRoute(w); c.doc.Routes[prefix].CostTokens > w.BurstTokens {
		c.addFault(path+".burst_tokens", fmt.Sprintf("is %v", w.BurstTokens),
			fmt.Sprintf("at least the cost_tokens of route %s, which is %v", prefix, c.doc.Routes[prefix].CostTokens))
	}
}

// mostExpensiveRoute returns the prefix of the route that charges the workspace most, or "" if none charges it. Only this
// route is compared with the burst: a burst that suffices for it suffices for all.
func (c *crossChecker) mostExpensiveRoute(w Workspace) string {
	if slices.Contains(w.Routes, "*") {
		return c.mostExpensive
	}
	best := ""
	for _, prefix := range w.Routes {
		if r, declared := c.doc.Routes[prefix]; declared && !r.Open && c.chargesMore(prefix, best) {
			best = prefix
		}
	}
	return best
}

// chargesMore reports whether route a charges more than route b. Of two that charge the same, it is the first by prefix.
func (c *crossChecker) chargesMore(a, b string) bool {
	return b == "" || cmp.Or(cmp.Compare(c.doc.Routes[b].CostTokens, c.doc.Routes[a].CostTokens), cmp.Compare(a, b)) < 0
}

// checkReferences adds a fault for each name that is repeated, and for each that is neither declared nor "*".
func checkReferences[K ~string, V any](c *crossChecker, path, allowed string, names []K, declared map[K]V) {
	seen := map[K]bool{}
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		if seen[name] {
			c.addFault(at, fmt.Sprintf("repeats %q", string(name)), "each name once")
		}
		seen[name] = true
		if _, ok := declared[name]; !ok && name != "*" {
			c.addFault(at, fmt.Sprintf("names %q, which is not declared", string(name)), allowed)
		}
	}
}
