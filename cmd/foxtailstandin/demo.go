package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/foxtailpass/foxtailpass/internal/standin/site"
)

func demoCommand(logger *log.Logger) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole local site in one process: two hosts, engines, plain services, and stand-ins for the key-value service and the list of upstreams",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "send a few requests, print the results and exit"},
			&cli.BoolFlag{Name: "verbose", Usage: "log what the hosts do"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runDemo(ctx, logger, c.Bool("once"), c.Bool("verbose"))
		},
	}
}

func runDemo(ctx context.Context, logger *log.Logger, once, verbose bool) error {
	o := site.Demo()
	o.Log = logger
	if !verbose {
		o.Log = log.New(io.Discard)
	}
	s, err := site.Start(ctx, o)
	if err != nil {
		return err
	}
	defer func() { _ = s.Stop() }()
	key, _, err := s.IssueKey(ctx, "clerks")
	if err != nil {
		return err
	}
	d := &demo{site: s, key: key, addrs: s.CallerAddrs()}
	if err := d.waitForKey(ctx); err != nil {
		return err
	}
	if once {
		return d.once(ctx)
	}
	d.printHelp()
	<-ctx.Done()
	return nil
}

// demo is a running demo site with a caller key and the addresses at which the hosts serve callers.
type demo struct {
	site  *site.Site
	key   string
	addrs []string
}

// keyTimeout limits the wait until all hosts accept the new key.
const keyTimeout = 5 * time.Second

func (d *demo) waitForKey(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	for _, addr := range d.addrs {
		for {
			resp, err := d.send(ctx, http.MethodGet, addr, "/v1/models", "", nil)
			if err != nil {
				return err
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func (d *demo) send(ctx context.Context, method, addr, path, idempotencyKey string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+d.key)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	return resp, nil
}

const (
	chatBody  = `{"model":"tab-labels","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Labels for a court binder of 12 tabs."}]}`
	plainBody = `{"order":"binder-17","tabs":12}`
)

func (d *demo) printHelp() {
	fmt.Printf("A local site is running: %d hosts, %d engines, %d plain services, and stand-ins for the key-value service and the list of upstreams.\n\n",
		len(d.addrs), len(d.site.Engines), len(d.site.Services))
	fmt.Printf("callers:   http://%s\n", strings.Join(d.addrs, "  http://"))
	for i := range d.addrs {
		fmt.Printf("operators: http://%s/status  http://%s/metrics\n", d.site.Host(i).OperatorAddr(), d.site.Host(i).OperatorAddr())
	}
	fmt.Printf("key:       %s\n\nTry:\n\n", d.key)
	auth := fmt.Sprintf("-H 'Authorization: Bearer %s' -H 'Content-Type: application/json'", d.key)
	fmt.Printf("curl -s http://%s/v1/models %s\n", d.addrs[0], auth)
	fmt.Printf("curl -sN http://%s/v1/chat/completions %s -d '%s'\n", d.addrs[0], auth, chatBody)
	fmt.Printf("curl -s http://%s/orders/new %s -H 'Idempotency-Key: order-1' -d '%s'\n", d.addrs[1%len(d.addrs)], auth, plainBody)
	fmt.Printf("curl -s http://%s/status/now\n\nStop with Ctrl-C.\n", d.addrs[0])
}

// once sends the requests of one run of the demo. It sends two streamed requests for the same model, which is not
// loaded before the first ("cold") and is loaded at the second ("warm"). Then it sends one request to a plain service
// twice, with the same idempotency key. It checks that the model was loaded once and that the service ran the request
// once.
func (d *demo) once(ctx context.Context) error {
	for i, label := range []string{"cold", "warm"} {
		if err := d.sendStreamed(ctx, d.addrs[i%len(d.addrs)], label); err != nil {
			return err
		}
	}
	loads := 0
	for _, e := range d.site.Engines {
		loads += len(e.Record().LoadsOf("tab-labels"))
	}
	fmt.Printf("The model was loaded %d time(s).\n", loads)
	for i := range 2 {
		if err := d.sendPlain(ctx, d.addrs[i%len(d.addrs)]); err != nil {
			return err
		}
	}
	runs := d.site.Services[0].Runs("binder-17")
	fmt.Printf("The plain service ran the request %d time(s).\n", runs)
	if loads != 1 || runs != 1 {
		return fmt.Errorf("demo: the model was loaded %d times and the plain service ran the request %d times, want once each", loads, runs)
	}
	return nil
}

func (d *demo) sendStreamed(ctx context.Context, addr, label string) error {
	began := time.Now()
	resp, err := d.send(ctx, http.MethodPost, addr, "/v1/chat/completions", "", []byte(chatBody))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	firstByte := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, firstByte); err != nil {
		return fmt.Errorf("demo: %s request: %w", label, err)
	}
	firstByteAfter := time.Since(began)
	rest, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("demo: %s request: %w", label, err)
	}
	if resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		return fmt.Errorf("demo: %s request: status %d, rest of the answer after the first byte: %s", label, resp.StatusCode, rest)
	}
	events := strings.Count(string(rest), "\n\n")
	fmt.Printf("A %s streamed request through %s: first byte after %s, %d events, whole answer after %s.\n",
		label, addr, firstByteAfter.Round(time.Millisecond), events, time.Since(began).Round(time.Millisecond))
	return nil
}

func (d *demo) sendPlain(ctx context.Context, addr string) error {
	resp, err := d.send(ctx, http.MethodPost, addr, "/orders/new", "demo-order", []byte(plainBody))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("demo: request to a plain service: %w", err)
	}
	if resp.StatusCode != http.StatusOK || !json.Valid(body) {
		return fmt.Errorf("demo: request to a plain service: status %d, answer %s", resp.StatusCode, body)
	}
	replayed := resp.Header.Get("X-Foxtailpass-Replayed") == "true"
	fmt.Printf("A request to a plain service through %s: status %d, replayed %t, answer %s\n", addr, resp.StatusCode, replayed, bytes.TrimSpace(body))
	return nil
}
