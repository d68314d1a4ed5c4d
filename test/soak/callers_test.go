package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/foxtailpass/foxtailpass/platform/standin"
)

// deadline is the deadline that each request carries; answerGrace is how much longer the client waits for the
// answer before it counts the request as unanswered.
const (
	deadline    = 3 * time.Second
	answerGrace = 1500 * time.Millisecond
)

// Kinds of requests, each named after the path prefix of its route.
const (
	kindOrder   = "/orders/"
	kindLookup  = "/lookup/"
	kindLive    = "/live/"
	kindPatient = "/patient/"
)

var kinds = []string{kindOrder, kindLookup, kindLive, kindPatient}

// exchange is one request of a caller and its result.
type exchange struct {
	id, kind, key string
	host          *host
	sent, ended   time.Time
	// status is zero if no response header was received.
	status int
	body   string
	err    error
}

func (x *exchange) streams() bool { return x.kind == kindLive || x.kind == kindPatient }

// repeatable reports whether the request may run more than once.
func (x *exchange) repeatable() bool { return x.kind == kindLookup || x.kind == kindPatient }

// tokens returns the number of tokens that the request takes from the rate of its workspace.
func (x *exchange) tokens() float64 {
	if x.streams() {
		return 150
	}
	return 10
}

// callers sends requests over keep-alive connections and records the exchanges. Unless a request times out, it closes
// no connection before the end of the run.
type callers struct {
	mu   sync.Mutex
	all  []*exchange
	next int
}

// run sends requests from n concurrent callers until the context ends. A caller switches to a random host
// after a request that failed without a whole answer.
func (c *callers) run(ctx context.Context, s *site, seed uint64, n int) {
	var wg sync.WaitGroup
	for i := range n {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() {
			h := s.hosts[i%len(s.hosts)]
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}, Timeout: deadline + answerGrace}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				x := c.newExchange(h, kinds[r.IntN(len(kinds))], []string{"key-1", "key-1", "key-2"}[r.IntN(3)])
				x.send(client, r)
				time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
				if x.err != nil {
					h = s.hosts[r.IntN(len(s.hosts))]
				}
			}
		})
	}
	wg.Wait()
}

// newExchange creates the record of a request that is about to be sent.
func (c *callers) newExchange(h *host, kind, key string) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	x := &exchange{id: fmt.Sprintf("x%d", c.next), kind: kind, key: key, host: h}
	c.all = append(c.all, x)
	return x
}

func (x *exchange) send(client *http.Client, r *rand.Rand) {
	method := http.MethodPost
	if x.kind == kindLookup {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+x.host.callerAddr+x.kind+x.host.name, strings.NewReader(""))
	if err != nil {
		x.err = err
		return
	}
	req.Host = "site.example"
	c := standin.Caller{ID: x.id, Key: x.key, Deadline: deadline}
	if x.streams() {
		c.Model = fmt.Sprintf("m%d", r.IntN(modelCount)*r.IntN(2))
	}
	c.Describe(req.Header)
	x.sent = time.Now()
	defer func() { x.ended = time.Now() }()
	resp, err := client.Do(req)
	if err != nil {
		x.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	x.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	x.body, x.err = string(body), err
}

// expectedBody returns the complete response body that the upstream stand-ins send for this request.
func (x *exchange) expectedBody() string {
	if !x.streams() {
		return "answer to " + x.id
	}
	var b strings.Builder
	for i := range eventCount {
		fmt.Fprintf(&b, "id: %d\ndata: part %d\n\n", i+1, i+1)
	}
	return b.String()
}
