package faults

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

const (
	// withdrawalBound is the time within which a withdrawn key must stop working at all hosts.
	withdrawalBound = 3 * time.Second
	// immediateAnswerLimit is the maximum time of an answer that does not have to wait for anything.
	immediateAnswerLimit = time.Second
)

// siteSlots limits the number of sites that run at the same time.
var siteSlots = make(chan struct{}, 4)

// startSite marks the test as parallel and starts a site for it. change, if not nil, modifies the default
// options.
func startSite(t *testing.T, change func(o *harness.Options)) *harness.Site {
	t.Helper()
	t.Parallel()
	siteSlots <- struct{}{}
	t.Cleanup(func() { <-siteSlots })
	o := siteOptions()
	if change != nil {
		change(&o)
	}
	return harness.Start(t, o)
}

// setTokenInterval sets the time per token of all engines.
func setTokenInterval(o *harness.Options, d time.Duration) {
	for i := range o.Engines {
		o.Engines[i].TokenInterval = d
	}
}

// chat returns a chat request whose prompt is the marker, by which a test finds the request in the records of the
// engines. A deadline of zero sets no deadline header.
func chat(key, model, marker string, tokens int, stream bool, deadline time.Duration) harness.Request {
	r := harness.Chat(key, model, tokens, stream)
	r.Body = strings.Replace(r.Body, `"hi"`, fmt.Sprintf("%q", marker), 1)
	if deadline > 0 {
		r.Headers = map[string]string{"X-Foxtailpass-Deadline-Ms": fmt.Sprint(deadline.Milliseconds())}
	}
	return r
}

// order returns a request to the plain service for orders, which must not run twice.
func order(key, name string) harness.Request {
	return harness.Request{Method: http.MethodPost, Path: "/orders/new", Key: key, Body: fmt.Sprintf(`{"order":%q}`, name)}
}

// burst sends n requests at the same time and returns their answers in order.
func burst(n int, send func(i int) harness.Answer) []harness.Answer {
	out := make([]harness.Answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = send(i)
		}()
	}
	wg.Wait()
	return out
}

// answerText returns the text of a whole chat answer, streamed or not, and whether it is whole.
func answerText(a harness.Answer) (string, bool) {
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		s, whole := harness.StreamText(a.Body)
		return s, whole && a.Err == nil
	}
	var body struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if decode(a.Body, &body) != nil || len(body.Choices) == 0 {
		return "", false
	}
	return body.Choices[0].Message.Content, a.Err == nil
}

// checkOwnAnswer fails the test unless the answer is whole and an engine generated it for the request with the
// marker: the text must be the one that is derived from the request ID in the answer, and the requests that engines
// received with this ID must contain the marker.
func checkOwnAnswer(t *testing.T, s *harness.Site, a harness.Answer, model, marker string, tokens int) {
	t.Helper()
	id := entity.RequestID(a.Header.Get("X-Request-Id"))
	got, whole := answerText(a)
	if a.Status != 200 || !whole || got != engine.ExpectedText(id, model, tokens) {
		t.Errorf("%s: status %d, whole %t, err %v, want status 200 and the whole expected text; body %.300s", marker, a.Status, whole, a.Err, a.Body)
		return
	}
	for _, e := range s.Engines {
		for _, r := range e.Received() {
			if r.Headers["X-Request-Id"] == string(id) && strings.HasPrefix(r.URI, "/v1/") && !strings.Contains(r.Body, `"`+marker+`"`) {
				t.Errorf("%s got the answer to %s", marker, r.Body)
			}
		}
	}
}

// checkRefusal fails the test unless the answer arrives within the given time and is a refusal with one of the
// codes and a Retry-After header.
func checkRefusal(t *testing.T, name string, a harness.Answer, within time.Duration, codes ...string) {
	t.Helper()
	known := false
	for _, c := range codes {
		known = known || a.Code == c
	}
	if a.Err != nil || !known || a.Header.Get("Retry-After") == "" || a.Took > within {
		t.Errorf("%s: status %d, code %q, Retry-After %q after %v; want one of the permitted codes, a Retry-After header and at most %v; err %v, body %.200s",
			name, a.Status, a.Code, a.Header.Get("Retry-After"), a.Took, within, a.Err, a.Body)
	}
}

// runsOf returns how often the engines ran the requests whose prompt is the marker.
func runsOf(s *harness.Site, marker string) int {
	runs := 0
	for _, e := range s.Engines {
		ids := map[entity.RequestID]bool{}
		for _, r := range e.Received() {
			if strings.Contains(r.Body, `"`+marker+`"`) {
				ids[entity.RequestID(r.Headers["X-Request-Id"])] = true
			}
		}
		for id := range ids {
			runs += e.Runs(id)
		}
	}
	return runs
}

// awaitServed waits until the first host serves the model.
func awaitServed(s *harness.Site, key, model string) {
	s.T.Helper()
	s.Eventually(10*time.Second, model+" is served", func() bool {
		return s.Hosts[0].Do(harness.Chat(key, model, 1, false)).Status == 200
	})
}

func decode(body string, v any) error { return json.Unmarshal([]byte(body), v) }
