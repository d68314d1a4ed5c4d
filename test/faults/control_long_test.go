//go:build long

package faults

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// TestLongRandomRun runs pairs of failures for the time in FOXTAILPASS_FAULTS_DURATION (default 10m) with
// the seed in FOXTAILPASS_FAULTS_SEED (default: the current time). It guards against faults that only rare
// combinations of failures show; see docs/OPERATIONS.md.
func TestLongRandomRun(t *testing.T) {
	d, seed := 10*time.Minute, uint64(time.Now().UnixNano())
	if v := os.Getenv("FOXTAILPASS_FAULTS_DURATION"); v != "" {
		var err error
		if d, err = time.ParseDuration(v); err != nil {
			t.Fatal(err)
		}
	}
	if v := os.Getenv("FOXTAILPASS_FAULTS_SEED"); v != "" {
		var err error
		if seed, err = strconv.ParseUint(v, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	pairRounds(t, seed, d)
}
