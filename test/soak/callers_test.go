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

// deadline is how long callers wait, and lateness how much later an answer may still come.
const (
	deadline = 3 * time.Second
	lateness = 1500 * time.Millisecond
)

// kinds of requests.
const (
	kindOrder   = "/orders/"
	kindLookup  = "/lookup/"
	kindLive    = "/live/"
	kindPatient = "/patient/"
)

var kinds = []string{kindOrder, kindLookup, kindLive, kindPatient}

// exchange is one request of a caller and what came of it.
type exchange struct {
	id, kind, key string
	host          *host
	sent, ended   time.Time
	// status is zero when no answer came.
	status int
	body   string
	err    error
}

func (x *exchange) streams() bool { return x.kind == kindLive || x.kind == kindPatient }

// repeatable says whether the request may run more than once.
func (x *exchange) repeatable() bool { return x.kind == kindLookup || x.kind == kindPatient }

// tokens is what the request costs its workspace.
func (x *exchange) tokens() float64 {
	if x.streams() {
		return 150
	}
	return 10
}

// callers send requests over connections that they keep open until the host closes them.
type callers struct {
	mu   sync.Mutex
	all  []*exchange
	next int
}

// run sends requests from several callers until the context ends.
func (c *callers) run(ctx context.Context, s *site, seed uint64, n int) {
	var wg sync.WaitGroup
	for i := range n {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() {
			h := s.hosts[i%len(s.hosts)]
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}, Timeout: deadline + lateness}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				x := c.begin(h, kinds[r.IntN(len(kinds))], []string{"key-1", "key-1", "key-2"}[r.IntN(3)])
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

func (c *callers) begin(h *host, kind, key string) *exchange {
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
	req, err := http.NewRequest(method, "http://"+x.host.callers+x.kind+"z", strings.NewReader(""))
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

// wholeBody is the answer that the upstreams give.
func (x *exchange) wholeBody() string {
	if !x.streams() {
		return "answer to " + x.id
	}
	var b strings.Builder
	for i := range eventCount {
		fmt.Fprintf(&b, "id: %d\ndata: part %d\n\n", i+1, i+1)
	}
	return b.String()
}
