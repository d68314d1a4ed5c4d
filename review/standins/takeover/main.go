// Command takeover stops the machine that gives the orders and then kills the process that has just taken over. It checks
// that no two machines give orders to one replica within the duration of a lease.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"review/standins/kit"
)

const (
	models   = 8
	capacity = 2
	// leaseDuration is lease_duration_ms of the deployments.
	leaseDuration = 3000 * time.Millisecond
	// restartDelay is how long after its end a process is started again.
	restartDelay = 300 * time.Millisecond
	// requestPause is the pause between two requests for models of which most are not loaded.
	requestPause = 60 * time.Millisecond
)

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

type orderAt struct {
	replica string
	kit.Order
}

func play(rec *kit.Record) (int, error) {
	site, err := kit.NewSite(rec, 3, 1)
	if err != nil {
		return kit.CantRun, err
	}
	defer site.Close()
	kit.CleanUpOnSignal(site.Close)
	var all []string
	for i := range models {
		all = append(all, kit.ModelName(i))
	}
	var replicas []*kit.Replica
	for i := range 2 {
		r := &kit.Replica{ID: fmt.Sprintf("i-%d", i), Service: kit.Engine, Zone: "zone-a", Slots: 32, Capacity: capacity, LoadTime: 780 * time.Millisecond, Events: 5, EventInterval: 5 * time.Millisecond}
		if err := r.Start(fmt.Sprintf("%s.%d:8080", site.Net, 100+i), site.Store, all[2*i:2*i+2], all); err != nil {
			return kit.CantRun, err
		}
		defer r.Close()
		replicas = append(replicas, r)
	}
	orders := func() []orderAt {
		var out []orderAt
		for _, r := range replicas {
			for _, o := range r.Orders() {
				out = append(out, orderAt{r.ID, o})
			}
		}
		slices.SortFunc(out, func(a, b orderAt) int { return a.At.Compare(b.At) })
		return out
	}
	// giver returns the machine that gave the last order since a time.
	giver := func(since time.Time) *kit.Host {
		list := orders()
		for i := len(list) - 1; i >= 0 && list[i].At.After(since); i-- {
			for _, h := range site.Hosts {
				if h.Name == list[i].LeaseHolder {
					return h
				}
			}
		}
		return nil
	}
	site.Store.Put("op/config", kit.Config(7, models, capacity))
	for _, h := range site.Hosts {
		if err := h.Start(); err != nil {
			return kit.CantRun, err
		}
	}
	if !site.WaitReady(15 * time.Second) {
		return kit.CantRun, fmt.Errorf("the hosts are not ready")
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { sendRequests(site, stop) })
	defer func() { close(stop); clients.Wait() }()

	began := time.Now()
	if !kit.WaitFor(10*time.Second, func() bool { return giver(began) != nil }) {
		return kit.CantRun, fmt.Errorf("nobody gives orders")
	}
	first := giver(began)
	rec.Note("%s gives the orders", first.Name)
	time.Sleep(time.Second)
	first.Signal(syscall.SIGTERM)
	if !first.WaitExit(10 * time.Second) {
		return kit.CantRun, fmt.Errorf("%s does not stop", first.Name)
	}
	drill := time.Now()
	rec.Note("%s has stopped", first.Name)
	var second *kit.Host
	if !kit.WaitFor(8*time.Second, func() bool { second = site.Holder(); return second != nil && second != first }) {
		return kit.CantRun, fmt.Errorf("nobody succeeds %s", first.Name)
	}
	rec.Note("%s has written to the store under a condition", second.Name)
	if kit.Trouble() {
		second.Kill()
		time.Sleep(restartDelay)
		if err := second.Start(); err != nil {
			return kit.CantRun, err
		}
	}
	time.Sleep(8 * time.Second)
	list := orders()
	broken, after := 0, 0
	last := make(map[string]orderAt)
	for _, o := range list {
		rec.NoteAt(o.At, "%s gets an order of %s, fencing token %d: %s %s, answer %d", o.replica, o.LeaseHolder, o.FencingToken, o.Operation, o.Model, o.Status)
		if o.At.After(drill) {
			after++
		}
		before, known := last[o.replica]
		last[o.replica] = o
		switch {
		case !known:
		case o.LeaseHolder != before.LeaseHolder && o.At.Sub(before.At) < leaseDuration:
			broken++
			rec.NoteAt(o.At, "BROKEN: %s gets an order of %s %.3f s after one of %s; the least time is %.1f s", o.replica, o.LeaseHolder, o.At.Sub(before.At).Seconds(), before.LeaseHolder, leaseDuration.Seconds())
		case o.FencingToken < before.FencingToken:
			broken++
			rec.NoteAt(o.At, "BROKEN: %s gets the fencing token %d after %d", o.replica, o.FencingToken, before.FencingToken)
		}
	}
	rec.Line("orders %d, after the stop %d; holders that took turns within %v, or fencing tokens that fell: %d", len(list), after, leaseDuration, broken)
	switch {
	case after == 0:
		return kit.CantRun, fmt.Errorf("no orders after the stop")
	case broken > 0:
		rec.Line("ONE broken")
		return kit.Broken, nil
	}
	rec.Line("ONE held")
	return kit.Held, nil
}

// sendRequests sends requests for all models to the running hosts until stop is closed.
func sendRequests(site *kit.Site, stop chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(requestPause):
		}
		h := site.Hosts[i%len(site.Hosts)]
		if !h.Running() {
			continue
		}
		model := kit.ModelName(rand.IntN(models))
		wg.Go(func() {
			kit.Send(h, kit.Request{Method: "POST", Path: kit.Live + fmt.Sprint(i), Model: model, Body: []byte("prompt"), Deadline: 4 * time.Second})
		})
	}
}
