package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// plainTry makes one client attempt for a plain request on a new connection and returns the status, 0 without an answer.
func (s *Site) plainTry(host int, path, key string, deadline time.Duration) (attempt string, status int, body string) {
	attempt = attemptID()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.hosts[host].Caller+path, strings.NewReader("an order "+attempt))
	q.Host = "site.example"
	q.Header.Set("X-Foxtailpass-Attempt-Id", attempt)
	q.Header.Set("X-Foxtailpass-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		q.Header.Set("X-Api-Key", key)
	}
	t := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer t.CloseIdleConnections()
	s.log("client sends %s %s to %s", path, attempt, s.hosts[host].Name)
	resp, err := t.RoundTrip(q)
	if err != nil {
		s.log("client %s: no answer: %v", attempt, err)
		return attempt, 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	s.log("client %s: status %d, signature %q, body %q, err %v", attempt, resp.StatusCode, resp.Header.Get("X-Foxtailpass-Response-Signature"), b, err)
	if err != nil {
		return attempt, 0, ""
	}
	return attempt, resp.StatusCode, string(b)
}

// drainTimeout is drain_timeout_ms of the sheet.
const drainTimeout = 2 * time.Second

// playForeign: a replica drains. Later another writer leaves an entry under its key that lacks fields.
func playForeign(s *Site, trouble bool) (bool, error) {
	err := s.AddReplicas(3, func(i int) *Replica {
		return &Replica{ID: fmt.Sprintf("i-%d", i+1), Service: "orders", Version: "1.0", Work: 150 * time.Millisecond}
	})
	if err != nil {
		return false, err
	}
	s.Configure(1, []any{route("/orders/", "non_idempotent", "orders", 1, false, 1500*time.Millisecond)}, []any{plainService("orders")}, []any{})
	if err := s.startHosts(); err != nil {
		return false, err
	}
	leaving := s.replicas[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	sentAt, failed, served := map[string]time.Time{}, map[string]int{}, 0
	end := time.Now().Add(9 * time.Second)
	wg.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			wg.Go(func() {
				at := time.Now()
				attempt, status, _ := s.plainTry(i%2, "/orders/new", "", 1500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				sentAt[attempt] = at
				if status == 200 {
					served++
				} else {
					failed[attempt] = status
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
	})
	time.Sleep(time.Second)
	drained := leaving.Drain()
	s.log("the store has acknowledged that %s is draining", leaving.ID)
	foreign := func() {
		if trouble {
			s.store.Put("servers/"+leaving.ID, map[string]any{"service": "orders", "address": leaving.addr, "slots": 32, "state": "ready"})
			s.log("another writer leaves an entry of %s without zone, version, cold_remaining_ms, sequence and born", leaving.ID)
		}
	}
	time.Sleep(time.Until(drained.Add(2700 * time.Millisecond)))
	foreign()
	time.Sleep(time.Until(drained.Add(4600 * time.Millisecond)))
	foreign()
	time.Sleep(time.Until(drained.Add(5500 * time.Millisecond)))
	leaving.Crash()
	s.log("%s exits", leaving.ID)
	s.store.Delete("servers/" + leaving.ID)
	wg.Wait()
	late, lost := 0, 0
	for _, r := range s.Runs() {
		mu.Lock()
		at, status := sentAt[r.Attempt], failed[r.Attempt]
		mu.Unlock()
		if r.Replica != leaving.ID || !at.After(drained.Add(drainTimeout)) {
			continue
		}
		late++
		if _, bad := failed[r.Attempt]; bad {
			lost++
			s.log("attempt %s was sent %v after the acknowledgement, ran at %s and got status %d", r.Attempt, at.Sub(drained), r.Replica, status)
		}
	}
	s.log("requests served %d, failed %d; reached %s later than drain_timeout_ms after the acknowledgement: %d, of them without the replica's answer: %d", served, len(failed), leaving.ID, late, lost)
	fmt.Printf("served %d, late at the leaving replica %d, lost there %d\n", served, late, lost)
	if served < 100 {
		return false, errCannotRun
	}
	return late == 0, nil
}
