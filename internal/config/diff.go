package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"github.com/foxtailpass/foxtailpass/internal/config/finding"
	"github.com/foxtailpass/foxtailpass/internal/config/strictjson"
)

// maxSummaryBytes bounds the text of one value in a Change.
const maxSummaryBytes = 80

// Change is one difference between two configurations. Old and New are the JSON forms of the two values, cut to
// maxSummaryBytes. Old is empty for an added map entry, and New for a removed one. A struct field always has both:
// if it is not set, its value is zero.
type Change = finding.Change

// Diff returns the differences from a to b, ordered by path. A nil Site counts as an empty configuration. If a map
// entry exists in only one of the two, the whole entry is one change.
func Diff(a, b *Site) []Change {
	var from, to Document
	if a != nil {
		from = a.Document
	}
	if b != nil {
		to = b.Document
	}
	var changes []Change
	diffValue(&changes, "", reflect.ValueOf(from), reflect.ValueOf(to))
	slices.SortFunc(changes, func(x, y Change) int { return cmp.Compare(x.Path, y.Path) })
	return changes
}

func diffValue(out *[]Change, path string, a, b reflect.Value) {
	switch a.Kind() {
	case reflect.Struct:
		diffStruct(out, path, a, b)
	case reflect.Map:
		diffMap(out, path, a, b)
	case reflect.Slice:
		if a.Len() != 0 || b.Len() != 0 {
			diffLeaf(out, path, a, b)
		}
	default:
		diffLeaf(out, path, a, b)
	}
}

// diffLeaf adds a change of the whole value unless the two values are equal.
func diffLeaf(out *[]Change, path string, a, b reflect.Value) {
	if !reflect.DeepEqual(a.Interface(), b.Interface()) {
		*out = append(*out, Change{Path: path, Old: summary(a), New: summary(b)})
	}
}

func diffStruct(out *[]Change, path string, a, b reflect.Value) {
	for i := range a.NumField() {
		name := strictjson.JSONName(a.Type().Field(i))
		if path != "" {
			name = path + "." + name
		}
		diffValue(out, name, a.Field(i), b.Field(i))
	}
}

func diffMap(out *[]Change, path string, a, b reflect.Value) {
	for _, key := range a.MapKeys() {
		at := fmt.Sprintf("%s[%s]", path, key)
		if other := b.MapIndex(key); other.IsValid() {
			diffValue(out, at, a.MapIndex(key), other)
			continue
		}
		*out = append(*out, Change{Path: at, Old: summary(a.MapIndex(key))})
	}
	for _, key := range b.MapKeys() {
		if !a.MapIndex(key).IsValid() {
			*out = append(*out, Change{Path: fmt.Sprintf("%s[%s]", path, key), New: summary(b.MapIndex(key))})
		}
	}
}

// summary returns the JSON form of a value, cut to maxSummaryBytes.
func summary(v reflect.Value) string {
	data, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	if len(data) > maxSummaryBytes {
		return string(data[:maxSummaryBytes]) + "..."
	}
	return string(data)
}
