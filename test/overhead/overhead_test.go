package overhead

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// BenchmarkOverhead reports the latency that one host on one core adds at half of the saturating load, its requests
// per second at saturation, and its memory. If FOXTAILPASS_STREAM is set, answers are requested as event streams.
func BenchmarkOverhead(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "foxtailpass")
	if out, err := exec.Command("go", "build", "-o", binary, "github.com/foxtailpass/foxtailpass/cmd/foxtailpass").CombinedOutput(); err != nil {
		b.Fatalf("build: %v: %s", err, out)
	}
	r, err := Run(b.Context(), Config{
		Binary: binary, Duration: 6 * time.Second, Rounds: 3, Share: 0.5, Seed: 1, Stream: os.Getenv("FOXTAILPASS_STREAM") != "",
	})
	if err != nil {
		b.Fatal(err)
	}
	if err := r.Print(os.Stdout); err != nil {
		b.Fatal(err)
	}
}
