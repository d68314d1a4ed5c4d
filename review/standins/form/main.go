// Command form sends requests whose bodies are forms and compares what the replica ran with what the client sent.
package main

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"review/standins/kit"
)

// requests is the number of requests of each kind.
const requests = 30

// form returns a form with three fields, as many programs write it: one field has a type of its own.
func form(i int) (contentType string, body []byte) {
	const boundary = "review-boundary-5a7f"
	var b bytes.Buffer
	for _, field := range []struct{ header, value string }{
		{"Content-Disposition: form-data; name=\"order\"\r\nContent-Type: application/json", fmt.Sprintf(`{"tabs":%d}`, i)},
		{"Content-Disposition: form-data; name=\"binder\"", fmt.Sprintf("binder %d", i)},
		{"Content-Disposition: form-data; name=\"archive\"", "yes"},
	} {
		fmt.Fprintf(&b, "--%s\r\n%s\r\n\r\n%s\r\n", boundary, field.header, field.value)
	}
	fmt.Fprintf(&b, "--%s--\r\n", boundary)
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
	replica := &kit.Replica{ID: "i-1", Service: kit.Plain, Zone: "zone-a", Slots: 6, WorkTime: 30 * time.Millisecond}
	if err := replica.Start(site.Net+".100:8080", site.Store, nil, nil); err != nil {
		return kit.CantRun, err
	}
	defer replica.Close()
	site.Store.Put("op/config", kit.Config(7, 1, 1))
	for _, h := range site.Hosts {
		if err := h.Start(); err != nil {
			return kit.CantRun, err
		}
	}
	if !site.WaitReady(15 * time.Second) {
		return kit.CantRun, fmt.Errorf("the hosts are not ready")
	}
	sent := make(map[string][]byte)
	answers := make(map[string]int)
	for i := range requests {
		contentType, body := form(i)
		if !kit.Trouble() {
			// The same bytes, declared as what they are to the system: bytes.
			contentType = "application/octet-stream"
		}
		a := kit.Send(site.Hosts[i%2], kit.Request{Method: "POST", Path: kit.Orders + fmt.Sprint(i), ContentType: contentType, Body: body, Deadline: 1500 * time.Millisecond})
		sent[a.ID], answers[a.ID] = body, a.Status
		rec.Note("request %s sent, %d bytes, %s; answer %d %v", a.ID, len(body), contentType, a.Status, a.Err)
	}
	changed, ran := 0, 0
	for _, run := range replica.Runs() {
		want, known := sent[run.ID]
		if !known {
			continue
		}
		ran++
		if !bytes.Equal(run.Body, want) {
			changed++
			rec.NoteAt(run.At, "request %s was run with another body (the client got %d):\n--- sent\n%s\n--- run\n%s", run.ID, answers[run.ID], want, run.Body)
		}
	}
	rec.Line("requests sent %d, run %d, run with a changed body %d", len(sent), ran, changed)
	switch {
	case ran < requests/2:
		return kit.CantRun, fmt.Errorf("only %d requests ran", ran)
	case changed > 0:
		rec.Line("UNASKED broken")
		return kit.Broken, nil
	}
	rec.Line("UNASKED held")
	return kit.Held, nil
}
