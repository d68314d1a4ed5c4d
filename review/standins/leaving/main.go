// Command leaving plays clients that leave before their deadline: they close their side of the connection and read what
// still comes.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"review/standins/kit"
)

const (
	// clients is the number of requests, of which leaveShare per cent are left after leaveAfter.
	clients    = 100
	leaveShare = 30
	leaveAfter = 60 * time.Millisecond
	// pause is the pause between two requests.
	pause    = 50 * time.Millisecond
	workTime = 200 * time.Millisecond
	deadline = 1500 * time.Millisecond
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

// result is what a client read until the connection ended.
type result struct {
	id     string
	leaves bool
	// status is zero if no answer came.
	status int
	signed bool
	body   string
	err    error
}

// send sends an order and reads the answer. A client that leaves closes its side of the connection before.
func send(h *kit.Host, id string, leaves bool) result {
	out := result{id: id, leaves: leaves}
	conn, err := net.DialTimeout("tcp", h.CallerAddr(), time.Second)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	body := "tabs for binder " + id
	_, err = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Foxtailpass-Attempt-Id: %s\r\nX-Foxtailpass-Deadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		kit.Orders, id, kit.RouteHost, id, deadline.Milliseconds(), kit.Key, len(body), body)
	if err != nil {
		out.err = err
		return out
	}
	if leaves {
		time.Sleep(leaveAfter)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			out.err = err
			return out
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			out.err = err
		}
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	out.status, out.body, out.err = resp.StatusCode, string(b), err
	out.signed = resp.Header.Get("X-Foxtailpass-Response-Signature") != ""
	return out
}

func play(rec *kit.Record) (int, error) {
	site, err := kit.NewSite(rec, 2, 1)
	if err != nil {
		return kit.CantRun, err
	}
	defer site.Close()
	kit.CleanUpOnSignal(site.Close)
	for i := range 2 {
		r := &kit.Replica{ID: fmt.Sprintf("i-%d", i), Service: kit.Plain, Zone: "zone-a", Slots: 6, WorkTime: workTime}
		if err := r.Start(fmt.Sprintf("%s.%d:8080", site.Net, 100+i), site.Store, nil, nil); err != nil {
			return kit.CantRun, err
		}
		defer r.Close()
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
	results := make(chan result, clients)
	var wg sync.WaitGroup
	for i := range clients {
		leaves := kit.Trouble() && i%10 < leaveShare/10
		id := fmt.Sprintf("%08x", 0x7c000000+i)
		wg.Go(func() { results <- send(site.Hosts[i%2], id, leaves) })
		time.Sleep(pause)
	}
	wg.Wait()
	close(results)
	served, left, falseSuccesses := 0, 0, 0
	for r := range results {
		rec.Line("request %s, client leaves: %v, status %d, signed: %v, body %q, error %v", r.id, r.leaves, r.status, r.signed, r.body, r.err)
		whole := r.signed && strings.Contains(r.body, r.id)
		switch {
		case r.leaves:
			left++
		case r.status == 200 && whole:
			served++
		}
		if r.status >= 200 && r.status < 300 && !whole {
			falseSuccesses++
		}
	}
	rec.Line("clients that stay %d, served %d; clients that leave %d; successes that no replica gave: %d", clients-left, served, left, falseSuccesses)
	switch {
	case served < (clients-left)/2:
		return kit.CantRun, fmt.Errorf("only %d were served", served)
	case falseSuccesses > 0:
		rec.Line("MIXED broken")
		return kit.Broken, nil
	}
	rec.Line("MIXED held")
	return kit.Held, nil
}
