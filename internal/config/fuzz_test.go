package config

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
)

// Guards against documents that crash the reader, that are refused without a reason, or that
// compile into a configuration that is not valid itself.
func FuzzCompile(f *testing.F) {
	f.Add([]byte(goodBase), []byte(`{"models":{"m2":null}}`))
	f.Add([]byte(goodBase), []byte(`{"routes":{"/orders/":{"open":true,"cost_tokens":1e3}}}`))
	f.Add([]byte(goodBase), []byte(`{"workspaces":{"w":{"models":[]}}}`))
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
				t.Fatalf("refused without a reason: %v", err)
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
			t.Fatalf("compiling again gives another configuration: %v", changes)
		}
	})
}

// explicitZeros is an overlay with the fields whose zero differs from their default; the JSON
// form of a Document leaves zeros out.
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
