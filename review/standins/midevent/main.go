// Command midevent plays replicas that stop some streams in the middle of an event and end the body of the answer properly.
package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"os"
	"strings"
	"sync"
	"time"

	"review/standins/kit"
)

const (
	// streams is the number of streams of each kind, streamsAtOnce how many run at the same time.
	streams       = 200
	streamsAtOnce = 12
	events        = 24
	eventInterval = 20 * time.Millisecond
	// stopShare is the share of the streams, in per cent, that a replica in trouble stops in the middle of an event.
	stopShare = 5
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

// stopAfter returns after how many events a stream stops, zero for most.
func stopAfter(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	if n := h.Sum32() >> 8; n%100 < stopShare {
		return 3 + int(n%10)
	}
	return 0
}

func play(rec *kit.Record) (int, error) {
	site, err := kit.NewSite(rec, 2, 1)
	if err != nil {
		return kit.CantRun, err
	}
	defer site.Close()
	kit.CleanUpOnSignal(site.Close)
	for i := range 2 {
		r := &kit.Replica{ID: fmt.Sprintf("i-%d", i), Service: kit.Engine, Zone: "zone-a", Slots: 32, Capacity: 2, LoadTime: 780 * time.Millisecond, Events: events, EventInterval: eventInterval}
		if kit.Trouble() && i == 0 {
			r.StopAfter = func(id string) int {
				n := stopAfter(id)
				if n > 0 {
					rec.Note("replica i-0 stops the stream %s in the middle of event %d and ends the body", id, n+1)
				}
				return n
			}
		}
		if err := r.Start(fmt.Sprintf("%s.%d:8080", site.Net, 100+i), site.Store, []string{kit.ModelName(0)}, []string{kit.ModelName(0)}); err != nil {
			return kit.CantRun, err
		}
		defer r.Close()
	}
	site.Store.Put("op/config", kit.Config(7, 1, 2))
	for _, h := range site.Hosts {
		if err := h.Start(); err != nil {
			return kit.CantRun, err
		}
	}
	if !site.WaitReady(15 * time.Second) {
		return kit.CantRun, fmt.Errorf("the hosts are not ready")
	}
	var whole strings.Builder
	for i := 1; i <= events; i++ {
		whole.WriteString(kit.EventText(i))
	}
	total, complete, broken, refused := 0, 0, 0, 0
	endsAsComplete := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, streamsAtOnce)
	for i := range 2 * streams {
		path := []string{kit.Live, kit.Patient}[i%2]
		slots <- struct{}{}
		wg.Go(func() {
			a := kit.Send(site.Hosts[i/2%2], kit.Request{Method: "POST", Path: path + fmt.Sprint(i), Model: kit.ModelName(0), Body: []byte("prompt"), Deadline: 12 * time.Second})
			<-slots
			mu.Lock()
			defer mu.Unlock()
			total++
			switch {
			case a.Status != 200:
				refused++
				rec.Note("stream %s on %s: answer %d %v", a.ID, path, a.Status, a.Err)
			case a.Err != nil:
				broken++
				rec.Note("stream %s on %s: broken off after %d bytes: %v", a.ID, path, len(a.Body), a.Err)
			case bytes.Equal(a.Body, []byte(whole.String())):
				complete++
			default:
				endsAsComplete[path]++
				rec.Note("stream %s on %s: status 200, the body ends properly after %d of %d bytes, signature %q, last bytes %q", a.ID, path, len(a.Body), whole.Len(),
					a.Header.Get("X-Foxtailpass-Response-Signature"), a.Body[max(len(a.Body)-60, 0):])
			}
		})
	}
	wg.Wait()
	early := endsAsComplete[kit.Live] + endsAsComplete[kit.Patient]
	rec.Line("streams %d: complete %d, broken off %d, other answers %d; end as complete before their last piece: %d not resumable, %d resumable", total, complete, broken, refused, endsAsComplete[kit.Live], endsAsComplete[kit.Patient])
	switch {
	case complete < streams:
		return kit.CantRun, fmt.Errorf("only %d streams were complete", complete)
	case early > 0:
		rec.Line("ORDER broken")
		return kit.Broken, nil
	}
	rec.Line("ORDER held")
	return kit.Held, nil
}
