package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

type sample struct {
	Listen    string   `json:"listen" validate:"required,ip_port"`
	Endpoints []string `json:"endpoints" validate:"min=1,dive,ip_port"`
	Timeout   Duration `json:"timeout" default:"\"2s\"" validate:"gt=0"`
	Workers   int      `json:"workers" default:"4" validate:"gt=0,lte=64"`
	Nested    struct {
		Wait Duration `json:"wait" default:"\"5s\""`
	} `json:"nested"`
}

// Guards against faults that are reported one at a time: an operator would need several starts of the program to find
// them all.
func TestLoadReportsAllFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	text := `{"listen":"localhost:80","endpoints":["127.0.0.1:1","x"],"timeout":2,"workers":"8","nested":{"wait":"-1s","x":1},"Listen":""}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load[sample](path)
	var faults *Error
	if !errors.As(err, &faults) {
		t.Fatal(err)
	}
	want := []string{"listen: is \"localhost:80\" (allowed: IP:port", "endpoints[1]: is \"x\"", "timeout: is 2 (allowed: a duration",
		"workers: is \"8\"", "nested.wait: is negative", "nested.x: is an unknown field (allowed: wait)", "Listen: is an unknown field"}
	for _, w := range want {
		if !strings.Contains(err.Error(), path+": "+w) {
			t.Errorf("the fault %q is missing in\n%v", w, err)
		}
	}
	if len(faults.Fields) != len(want) {
		t.Errorf("%d faults, want %d:\n%v", len(faults.Fields), len(want), err)
	}
	for _, bad := range []string{"", "[]", `{"timeout":"0s"}`, `{"listen":null}`} {
		if _, err := Parse[sample]("f", []byte(bad)); !errors.As(err, &faults) {
			t.Errorf("settings %q: got error %v, want an *Error", bad, err)
		}
	}
}

// Guards against defaults that are not filled in, in particular those of nested settings.
func TestNestedDefaults(t *testing.T) {
	s, err := Parse[sample]("f", []byte(`{"listen":"[::1]:80","endpoints":["127.0.0.1:1"]}`))
	if err != nil || s.Timeout.Std() != 2*time.Second || s.Workers != 4 || s.Nested.Wait.Std() != 5*time.Second {
		t.Errorf("settings with defaults: got %+v, %v; want timeout 2s, 4 workers and wait 5s", s, err)
	}
}
