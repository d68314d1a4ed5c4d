package config

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
)

// Guards against documents that cause a panic, that are refused without a reason, or that compile into a
// configuration that is itself invalid.
func FuzzCompile(f *testing.F) {
	f.Add([]byte(validBase), []byte(`{"models":{"m2":null}}`))
	f.Add([]byte(validBase), []byte(`{"routes":{"/orders/":{"open":true,"cost_tokens":1e3}}}`))
	f.Add([]byte(validBase), []byte(`{"workspaces":{"w":{"models":[]}}}`))
	f.Add([]byte(`{"limits":{"retry_ratio":0}}`), []byte(`{"limits":null,"models":{"m":{"adapters":{"a":null}}}}`))
	f.Add([]byte(`{"models":{"":{"bytes":-0}}}`), []byte(`[[[[`))
	f.Add([]byte("{\"workspaces\":{\"\\u0000\xff\":{}}}"), []byte(``))
	f.Add([]byte(strings.Repeat(`{"models":`, 40)), []byte(`{"models":{"m":{"bytes":9223372036854775808}}}`))
	for _, name := range []string{"base.json", "overlay-local.json"} {
		data, err := os.ReadFile("../../examples/local/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, []byte(`{}`))
	}
	f.Fuzz(func(t *testing.T, base, overlay []byte) {
		site, err := Compile("s", 1, base, overlay)
		if err != nil {
			var invalid *ValidationError
			if !errors.As(err, &invalid) || len(invalid.Fields) == 0 || invalid.Fields[0].Reason == "" {
				t.Fatalf("document refused without a reason: %v", err)
			}
			return
		}
		data, err := json.Marshal(site.Document)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Compile("s", 1, data, explicitZeros(t, site))
		if err != nil {
			t.Fatalf("the compiled document is not valid: %v\n%s", err, data)
		}
		if changes := Diff(site, again); len(changes) > 0 {
			t.Fatalf("compiling the result again changes the configuration: %v", changes)
		}
	})
}

// explicitZeros returns an overlay with the values of those fields of a site that may be zero although their default is
// not, and that the JSON form of a Document omits if they are zero. Without the overlay, these fields would get their
// defaults again.
func explicitZeros(t *testing.T, site *Site) []byte {
	data, err := json.Marshal(map[string]any{
		"limits":    map[string]any{"retry_ratio": site.Limits.RetryRatio},
		"placement": map[string]any{"idle_ms": site.Placement.IdleMillis, "hold_ms": site.Placement.HoldMillis},
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}
