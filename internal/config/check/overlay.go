package check

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/foxtailpass/foxtailpass/internal/config/strictjson"
)

// checkOverlay finds entries of the overlay that change nothing in the base document, and entries that both documents
// declare completely.
func (s *siteRun) checkOverlay() {
	overlay, ok := s.in.Overlays[s.name]
	if !ok || len(overlay.Data) == 0 {
		return
	}
	base, _ := strictjson.Parse(s.in.Base.Data)
	patch, _ := strictjson.Parse(overlay.Data)
	for _, section := range slices.Sorted(maps.Keys(patch)) {
		value, inBase := base[section]
		s.compareValue(section, 0, value, inBase, patch[section])
	}
}

// compareValue compares the value of an overlay with the value that the base document has at the same path. depth is the
// number of names in the path after the first.
func (s *siteRun) compareValue(path string, depth int, base any, inBase bool, patch any) {
	if patch == nil {
		if !inBase {
			s.warn(OverlayRemovesNothing, path, "is null, but the base document does not have it", "check the name; null removes what the base document declares")
		}
		return
	}
	from, ok := base.(map[string]any)
	to, isObject := patch.(map[string]any)
	if !isObject || !ok {
		if inBase && reflect.DeepEqual(base, patch) {
			s.warn(OverlayRepeatsBase, path, "has the value that the base document already has", "remove it from the overlay")
		}
		if isObject {
			s.compareMembers(path, depth, nil, to)
		}
		return
	}
	if depth == 1 {
		if kept, twice := declaredTwice(from, to); twice {
			message := "is declared again with all fields of the base document"
			if len(kept) > 0 {
				message = "is declared again, but these fields of the base document stay in force: " + names(kept)
			}
			s.warn(DeclaredTwice, path, message, "keep one declaration; the overlay needs only the fields that differ")
			return
		}
	}
	s.compareMembers(path, depth, from, to)
}

func (s *siteRun) compareMembers(path string, depth int, from, to map[string]any) {
	for _, name := range slices.Sorted(maps.Keys(to)) {
		value, inBase := from[name]
		s.compareValue(memberPath(path, depth, name), depth+1, value, inBase, to[name])
	}
}

// memberPath returns the path of a member of an object. Objects at depth 0 are the sections; three of them, and the
// adapters of a model, map names to entries.
func memberPath(path string, depth int, name string) string {
	isMap := depth == 0 && (path == "models" || path == "workspaces" || path == "routes") || depth == 2
	if isMap {
		return fmt.Sprintf("%s[%s]", path, name)
	}
	return path + "." + name
}

// declaredTwice reports whether an overlay declares an entry of the base document again instead of changing it, and which
// fields of the base document then remain. An entry is declared again if all its fields, and at least two, are given, or
// the two fields without which there is no model. One field alone is the usual way to change an entry.
func declaredTwice(base, overlay map[string]any) (kept []string, twice bool) {
	for name := range base {
		if _, given := overlay[name]; !given {
			kept = append(kept, name)
		}
	}
	slices.Sort(kept)
	isModel := base["cold_start_ms"] != nil && overlay["bytes"] != nil && overlay["cold_start_ms"] != nil
	return kept, isModel || len(kept) == 0 && len(base) >= 2
}
