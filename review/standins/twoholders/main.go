// Command twoholders plays a drill in which the store comes back from an older copy and then leaves one write unanswered. It
// checks that no two machines give orders at the same time.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"review/standins/kit"
)

const (
	models   = 8
	capacity = 2
	// leaseDuration is lease_duration_ms of the deployments.
	leaseDuration = 3000 * time.Millisecond
	// away is how long the store is away in the drill.
	away = 300 * time.Millisecond
	// copyAge is how long before the drill the copy is taken, and lateBy how much later than it was sent the lost write is done.
	copyAge = 4 * time.Second
	lateBy  = 3 * time.Second
	// loadTime is how long a replica takes to load a model from its disk.
	loadTime = 200 * time.Millisecond
	// requestPause is the pause between two requests for models of which most are not loaded.
	requestPause = 30 * time.Millisecond
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
		r := &kit.Replica{ID: fmt.Sprintf("i-%d", i), Service: kit.Engine, Zone: "zone-a", Slots: 32, Capacity: capacity, LoadTime: loadTime, Events: 5, EventInterval: 5 * time.Millisecond}
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
	saved, copied := site.Store.Copy(), time.Now()
	rec.Note("a copy of the store is taken")
	time.Sleep(copyAge)

	drill := time.Now()
	if kit.Trouble() {
		site.Store.SetAway(true)
		rec.Note("the store is away")
	}
	time.Sleep(away)
	site.Store.LoseNext(first.StoreAddr, lateBy, func(outcome int) {
		rec.Note("the write of %s that was not answered is done late: %d", first.Name, outcome)
	})
	if kit.Trouble() {
		rewrite := site.Store.Restore(saved)
		rewrite()
		site.Store.SetAway(false)
		rec.Note("the store is back from the copy, which is %.1f s old; the operator and the replicas have written again", time.Since(copied).Seconds())
	}
	rec.Note("the next write of %s under a condition will not be answered", first.Name)
	time.Sleep(12 * time.Second)
	list := orders()
	after, turns, falls, shared := 0, 0, 0, 0
	// byToken holds the machine that gave the first order with a token.
	byToken := make(map[int64]string)
	// last holds the orders of a replica so far, the newest last, one for each turn of a holder.
	last := make(map[string][]orderAt)
	for _, o := range list {
		rec.NoteAt(o.At, "%s gets an order of %s, fencing token %d: %s %s, answer %d", o.replica, o.LeaseHolder, o.FencingToken, o.Operation, o.Model, o.Status)
		if o.At.After(drill) {
			after++
		}
		if byToken[o.FencingToken] == "" {
			byToken[o.FencingToken] = o.LeaseHolder
		}
		if byToken[o.FencingToken] != o.LeaseHolder {
			shared++
			rec.NoteAt(o.At, "BROKEN: %s gives an order with the fencing token %d of %s", o.LeaseHolder, o.FencingToken, byToken[o.FencingToken])
		}
		n := len(last[o.replica])
		if n > 0 && o.FencingToken < last[o.replica][n-1].FencingToken {
			falls++
			rec.NoteAt(o.At, "BROKEN: %s gets the fencing token %d after %d", o.replica, o.FencingToken, last[o.replica][n-1].FencingToken)
		}
		if n > 0 && last[o.replica][n-1].LeaseHolder == o.LeaseHolder {
			last[o.replica][n-1] = o
			continue
		}
		if n > 1 && last[o.replica][n-2].LeaseHolder == o.LeaseHolder && o.At.Sub(last[o.replica][n-2].At) < leaseDuration {
			turns++
			rec.NoteAt(o.At, "BROKEN: %s gets an order of %s, %.3f s after its last one, and one of %s in between", o.replica, o.LeaseHolder, o.At.Sub(last[o.replica][n-2].At).Seconds(), last[o.replica][n-1].LeaseHolder)
		}
		last[o.replica] = append(last[o.replica], o)
	}
	broken := turns + falls + shared
	rec.Line("orders %d, after the drill %d; turns of two holders within %v: %d; fencing tokens that fell: %d; orders with the token of another machine: %d", len(list), after, leaseDuration, turns, falls, shared)
	switch {
	case after == 0:
		return kit.CantRun, fmt.Errorf("no orders after the drill")
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
