// Command deadly plays a request that crashes each replica that begins to run it, and that comes again and again. Its body
// is a form.
package main

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"review/standins/kit"
)

const (
	replicas = 6
	// playTime is how long the deadly request comes, each deadlyPause; a sound request comes each soundPause.
	playTime    = 30 * time.Second
	deadlyPause = 900 * time.Millisecond
	soundPause  = 100 * time.Millisecond
	deadline    = 1500 * time.Millisecond
	// contactTimeout is contact_timeout_ms of the deployments. maxRetries is how many retries may reach replicas later than that
	// after the crash of the third replica.
	contactTimeout = 3 * time.Second
	maxRetries     = 3
	// deadlyPath is the path of the deadly request.
	deadlyPath = kit.Orders + "deadly"
)

// form returns the body of the deadly request, the same bytes each time.
func form() (contentType string, body []byte) {
	const boundary = "review-boundary-5a7f"
	var b bytes.Buffer
	for _, name := range []string{"order", "binder", "archive", "tabs", "colour", "clerk", "counter", "due"} {
		fmt.Fprintf(&b, "--%s\r\nContent-Disposition: form-data; name=%q\r\n\r\nvalue of %s\r\n", boundary, name, name)
	}
	fmt.Fprintf(&b, "--%s--\r\n", boundary)
	if os.Getenv("FORM") == "0" {
		return "application/octet-stream", b.Bytes()
	}
	return "multipart/form-data; boundary=" + boundary, b.Bytes()
}

func main() {
	rec, err := kit.NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(kit.CantRun)
	}
	code, err := play(rec)
	if err != nil {
		rec.Line("cannot run: %v", err)
	}
	os.Exit(code)
}

func play(rec *kit.Record) (int, error) {
	site, err := kit.NewSite(rec, 2, 1)
	if err != nil {
		return kit.CantRun, err
	}
	defer site.Close()
	kit.CleanUpOnSignal(site.Close)
	var mu sync.Mutex
	var arrivals []time.Time
	var all []*kit.Replica
	for i := range replicas {
		r := &kit.Replica{ID: fmt.Sprintf("i-%d", i), Service: kit.Plain, Zone: "zone-a", Slots: 6, WorkTime: 30 * time.Millisecond}
		r.Deadly = func(run kit.Run) bool {
			if run.Target != deadlyPath {
				return false
			}
			mu.Lock()
			arrivals = append(arrivals, run.At)
			mu.Unlock()
			rec.Note("the deadly request %s reaches replica %s", run.ID, r.ID)
			return kit.Trouble()
		}
		if err := r.Start(fmt.Sprintf("%s.%d:8080", site.Net, 100+i), site.Store, nil, nil); err != nil {
			return kit.CantRun, err
		}
		defer r.Close()
		all = append(all, r)
	}
	site.Store.Put("op/config", kit.Config(7, 1, 1))
	for _, h := range site.Hosts {
		if err := h.Start(); err != nil {
			return kit.CantRun, err
		}
	}
	if !site.WaitReady(15 * time.Second) {
		return kit.CantRun, fmt.Errorf("the hosts are not ready")
	}
	time.Sleep(contactTimeout)
	contentType, body := form()
	served, sent := 0, 0
	var wg sync.WaitGroup
	nextDeadly := time.Now()
	for i, end := 0, time.Now().Add(playTime); time.Now().Before(end); i++ {
		h := site.Hosts[i%len(site.Hosts)]
		wg.Go(func() {
			a := kit.Send(h, kit.Request{Method: "POST", Path: kit.Orders + fmt.Sprint(i), ContentType: "application/octet-stream", Body: []byte(fmt.Sprintf("order %d", i)), Deadline: deadline})
			if a.Status == 200 {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
		if !time.Now().Before(nextDeadly) {
			nextDeadly = nextDeadly.Add(deadlyPause)
			sent++
			wg.Go(func() {
				a := kit.Send(h, kit.Request{Method: "POST", Path: deadlyPath, ContentType: contentType, Body: body, Deadline: deadline})
				rec.Note("the deadly request comes as %s at %s: answer %d %v %s", a.ID, h.Name, a.Status, a.Err, strings.TrimSpace(string(a.Body)))
			})
		}
		time.Sleep(soundPause)
	}
	wg.Wait()
	var crashes []time.Time
	for _, r := range all {
		crashes = append(crashes, r.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= 3 && at.After(crashes[2].Add(contactTimeout)) {
			late++
		}
	}
	rec.Line("the deadly request came %d times and reached replicas %d times; %d crashes; reached replicas later than %v after the third crash: %d, allowed %d; sound requests served: %d",
		sent, len(arrivals), len(crashes), contactTimeout, late, maxRetries, served)
	switch {
	case served < 50:
		return kit.CantRun, fmt.Errorf("only %d sound requests were served", served)
	case late > maxRetries:
		rec.Line("BUDGET broken")
		return kit.Broken, nil
	}
	rec.Line("BUDGET held")
	return kit.Held, nil
}
