// Command standins-3 plays the scripts of the third review: it starts entry hosts as processes of their own, and stands in
// for the platform's store, the replicas and the clients. Its exit code is 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

var (
	record   *os.File
	recordMu sync.Mutex
	began    = time.Now()
	hosts    []*host
	tempDir  string
	trouble  = os.Getenv("TROUBLE") != "0"
)

// cases are the scripts by name.
var cases = map[string]func() bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	var err error
	record, err = os.Create(filepath.Join(os.Args[2], "record.txt"))
	check(err)
	tempDir, err = os.MkdirTemp("", "review-")
	check(err)
	time.AfterFunc(110*time.Second, func() { cannotRun("out of time") })
	logf("trouble: %v", trouble)
	held := cases[os.Args[1]]()
	logf("rule held: %v", held)
	if held {
		finish(0)
	}
	finish(1)
}

// logf writes a line to the record.
func logf(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// startHosts starts entry hosts and waits until they are ready.
func startHosts(s *store, n int) {
	for i := range n {
		hosts = append(hosts, newHost(s, tempDir, i+1))
	}
	for _, h := range hosts {
		h.awaitReady()
	}
}

// finish ends all processes that the script has started, and the script.
func finish(code int) {
	for _, h := range hosts {
		h.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range hosts {
			if b, err := os.ReadFile(h.settings + ".log"); err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), b, 0o600)
			}
		}
	}
	_ = os.RemoveAll(tempDir)
	os.Exit(code)
}

func cannotRun(format string, args ...any) {
	logf("cannot run: "+format, args...)
	finish(2)
}

func check(err error) {
	if err != nil {
		if record != nil {
			cannotRun("%v", err)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
