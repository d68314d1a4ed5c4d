package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/placement"
	"github.com/foxtailpass/foxtailpass/internal/standin/engine"
	"github.com/foxtailpass/foxtailpass/test/harness"
)

// parallelSite marks the test as parallel and starts a site for it.
func parallelSite(t *testing.T, o harness.Options) *harness.Site {
	t.Helper()
	t.Parallel()
	siteSlots <- struct{}{}
	t.Cleanup(func() { <-siteSlots })
	return harness.Start(t, o)
}

// engineOptions returns the options of n engines with the given memory, and the weight store that they share.
// checksFence applies to all engines.
func engineOptions(n int, bytes int64, checksFence bool) ([]engine.Options, *engine.WeightStore) {
	store := engine.NewWeightStore(engine.WeightStoreOptions{LoadsPerSecond: 50, Parallel: 8})
	var list []engine.Options
	for i := range n {
		list = append(list, engine.Options{
			ID: entity.UpstreamID(fmt.Sprintf("engine-%d", i+1)), MemoryBytes: bytes, ChecksFence: checksFence, Store: store,
			LoadTimes:     engine.LoadTimes{Memory: 50 * time.Millisecond, Disk: 100 * time.Millisecond, Remote: 300 * time.Millisecond},
			TokenInterval: time.Millisecond, ReportLag: 20 * time.Millisecond,
		})
	}
	return list, store
}

// modelsDocument returns a base document with n models of the given size, each with at most one replica.
func modelsDocument(n int, bytes int64) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `"m%d": {"bytes": %d, "cold_start_ms": 300, "max_replicas": 1},`, i, bytes)
	}
	return `{"models": {` + strings.TrimSuffix(b.String(), ",") + `},
	  "placement": {"idle_ms": 200, "hold_ms": 200},
	  "workspaces": {"clerks": {"rate_tokens_per_s": 100000, "burst_tokens": 100000, "models": ["*"], "routes": ["*"]}},
	  "routes": {"/orders/": {"upstream_kind": "orders", "timeout_ms": 3000}}}`
}

// decisions holds the highest number of replicas that the placement records have decided for each model.
type decisions struct {
	mu         sync.Mutex
	maxDecided map[entity.ModelID]int
}

// followDecisions watches the placement records of models until the test ends.
func followDecisions(s *harness.Site) *decisions {
	d := &decisions{maxDecided: make(map[entity.ModelID]int)}
	ctx, cancel := context.WithCancel(context.Background())
	s.T.Cleanup(cancel)
	go func() {
		_ = s.Store.Watch(ctx, "foxtailpass/"+config.PlacementModelsPrefix, 1, func(b kvstore.WatchBatch) error {
			d.mu.Lock()
			defer d.mu.Unlock()
			for _, e := range b.Events {
				var rec placement.ModelRecord
				if json.Unmarshal(e.Pair.Value, &rec) == nil {
					id := entity.ModelID(strings.TrimPrefix(e.Pair.Key, "foxtailpass/"+config.PlacementModelsPrefix))
					d.maxDecided[id] = max(d.maxDecided[id], rec.Decided)
				}
			}
			return nil
		})
	}()
	return d
}

// logPlacementOnFailure logs the placement records, and what each host knows of them, if the test fails.
func logPlacementOnFailure(s *harness.Site) {
	s.T.Cleanup(func() {
		if !s.T.Failed() {
			return
		}
		for _, prefix := range []string{config.PlacementModelsPrefix, config.PlacementUpstreamsPrefix} {
			res, err := s.Store.Range(context.Background(), kvstore.RangeRequest{Prefix: "foxtailpass/" + prefix})
			if err != nil {
				s.T.Logf("placement records: %v", err)
				continue
			}
			for _, p := range res.Pairs {
				s.T.Logf("%s: %s", p.Key, p.Value)
			}
		}
		for _, h := range s.Hosts {
			if st, ok := statusOf(h); ok {
				s.T.Logf("host %d: %+v", h.Index+1, st.Control.Placement)
			}
		}
	})
}

// checkPlacement verifies the placement against the records of the engines. No model may have had more replicas
// at the same time than were decided or than maxReplicas, and no engine may have been given orders beyond its
// memory.
func checkPlacement(s *harness.Site, d *decisions, store *engine.WeightStore, maxReplicas int) {
	s.T.Helper()
	// The watch that updates d has a short delay.
	time.Sleep(100 * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	for m, n := range store.MaxReplicas() {
		if n > d.maxDecided[m] || n > maxReplicas {
			s.T.Errorf("model %s had %d replicas at once, but %d were decided and at most %d are allowed", m, n, d.maxDecided[m], maxReplicas)
		}
	}
	for _, e := range s.Engines {
		if r := e.Record(); len(r.MemoryViolations) > 0 {
			s.T.Errorf("engine %s was given orders beyond its memory: %+v", r.ID, r.MemoryViolations)
		}
	}
}

// loadCount returns how often all engines together loaded a model.
func loadCount(s *harness.Site, m entity.ModelID) int {
	n := 0
	for _, e := range s.Engines {
		n += len(e.Record().LoadsOf(m))
	}
	return n
}

// decider waits for a running host that regards itself as the decider, and returns it. The decider is the host that
// decides which engine loads which model and sends the orders.
func decider(s *harness.Site) *harness.Host {
	s.T.Helper()
	var found *harness.Host
	s.Eventually(5*time.Second, "a host is the decider", func() bool {
		for _, h := range s.Hosts {
			if h.Running() && h.Status().Control.Placement.IsDecider {
				found = h
				return true
			}
		}
		return false
	})
	return found
}

// otherHosts returns all hosts except the given one.
func otherHosts(s *harness.Site, excluded *harness.Host) []*harness.Host {
	var list []*harness.Host
	for _, h := range s.Hosts {
		if h != excluded {
			list = append(list, h)
		}
	}
	return list
}

// isolate cuts a host from the platform and from all other hosts; the returned function heals these links.
func isolate(s *harness.Site, host int) (heal func()) {
	s.Net.Cut(harness.PlatformLink(host))
	s.Net.CutPeers(host, len(s.Hosts))
	return func() {
		s.Net.HealPeers(host, len(s.Hosts))
		s.Net.Heal(harness.PlatformLink(host))
	}
}

// partition cuts the hosts of a group from all other hosts; the returned function heals these links.
func partition(s *harness.Site, group ...int) (heal func()) {
	in := make(map[int]bool)
	for _, i := range group {
		in[i] = true
	}
	var links []string
	for i := range s.Hosts {
		for j := range s.Hosts {
			if in[i] != in[j] {
				links = append(links, harness.PeerLink(i, j))
			}
		}
	}
	for _, l := range links {
		s.Net.Cut(l)
	}
	return func() {
		for _, l := range links {
			s.Net.Heal(l)
		}
	}
}

// outage cuts all hosts from the key-value service; the returned function ends the outage.
func outage(s *harness.Site) (end func()) {
	for i := range s.Hosts {
		s.Net.Cut(harness.PlatformLink(i))
	}
	return func() {
		for i := range s.Hosts {
			s.Net.Heal(harness.PlatformLink(i))
		}
	}
}

// answers sends requests concurrently and collects their answers; wait returns them when all are done.
type answers struct {
	mu   sync.Mutex
	wg   sync.WaitGroup
	list []timedAnswer
}

// timedAnswer is an answer with the index of the host that got the request, and the times at which the
// request was sent and done.
type timedAnswer struct {
	harness.Answer
	Host       int
	Sent, Done time.Time
}

func (a *answers) send(h *harness.Host, r harness.Request) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		x := timedAnswer{Host: h.Index, Sent: time.Now()}
		x.Answer = h.Do(r)
		x.Done = time.Now()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.list = append(a.list, x)
	}()
}

func (a *answers) wait() []timedAnswer {
	a.wg.Wait()
	return a.list
}

// summary counts the answers by status and code.
func summary(list []timedAnswer) map[string]int {
	out := make(map[string]int)
	for _, x := range list {
		k := fmt.Sprintf("%d %s", x.Status, x.Code)
		if x.Err != nil {
			k = "no answer"
		}
		out[k]++
	}
	return out
}

// withDeadline sets the deadline header of a request.
func withDeadline(r harness.Request, d time.Duration) harness.Request {
	r.Headers = map[string]string{"X-Foxtailpass-Deadline-Ms": fmt.Sprint(d.Milliseconds())}
	return r
}
