package harness

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"github.com/foxtailpass/foxtailpass/internal/settings"
)

// maxHosts bounds the hosts of a site.
const maxHosts = 8

func duration(d time.Duration) settings.Duration { return settings.Duration(d) }

// Network holds the proxies between the parts of a site.
type Network struct {
	t      testing.TB
	server *toxiproxy.ApiServer
	kvAddr string

	mu      sync.Mutex
	proxies map[string]*toxiproxy.Proxy
	splits  []net.Listener
}

func newNetwork(t testing.TB, kvAddr string) *Network {
	return &Network{
		t: t, kvAddr: kvAddr, proxies: make(map[string]*toxiproxy.Proxy),
		server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
	}
}

// NewNetwork returns a network without proxies, which is closed at the end of the test.
func NewNetwork(t testing.TB) *Network {
	n := newNetwork(t, "")
	t.Cleanup(n.close)
	return n
}

// Link returns the address of a named link to an address, and starts it when it is new.
func (n *Network) Link(name, addr string) string { return n.proxy(name, addr) }

// proxy returns the address of the named proxy and starts it when it is new.
func (n *Network) proxy(name, upstream string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.proxies[name]
	if !ok {
		p = toxiproxy.NewProxy(n.server, name, freeAddr(n.t, sharedIP()), upstream)
		if err := startProxy(p); err != nil {
			n.t.Fatal(err)
		}
		n.proxies[name] = p
	}
	return p.Listen
}

// startProxy tries again while the port is in use: a process that another site forks at this moment
// holds a copy of the closed listener until it executes its program.
func startProxy(p *toxiproxy.Proxy) error {
	err := p.Start()
	for end := time.Now().Add(2 * time.Second); err != nil && !errors.Is(err, toxiproxy.ErrProxyAlreadyStarted) && time.Now().Before(end); err = p.Start() {
		time.Sleep(10 * time.Millisecond)
	}
	return err
}

func (n *Network) platform(host int) string {
	return n.proxy(PlatformLink(host), n.kvAddr)
}

func (n *Network) upstream(id, addr string) string { return n.proxy(UpstreamLink(id), addr) }

// peer returns the address under which the other hosts reach a host. Connections are told apart
// by their source address and go through a proxy per pair of hosts.
func (n *Network) peer(host int, addr string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	n.mu.Lock()
	n.splits = append(n.splits, ln)
	n.mu.Unlock()
	// The proxies exist before the first connection, so that a cut holds for that one too.
	for from := range maxHosts {
		if from != host {
			n.proxy(PeerLink(from, host), addr)
		}
	}
	go n.split(ln, host, addr)
	return ln.Addr().String()
}

func (n *Network) split(ln net.Listener, to int, addr string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		from := sourceHost(c)
		go forward(c, n.proxy(PeerLink(from, to), addr))
	}
}

// sourceHost returns the index of the host that dialed, by its loopback address.
func sourceHost(c net.Conn) int {
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	var i int
	_, _ = fmt.Sscanf(strings.TrimPrefix(ip, loopback+".1."), "%d", &i)
	return i - 1
}

func forward(c net.Conn, addr string) {
	defer func() { _ = c.Close() }()
	up, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	done := make(chan struct{}, 2)
	pipe := func(dst, src net.Conn) {
		_, _ = io.Copy(dst, src)
		done <- struct{}{}
	}
	go pipe(up, c)
	go pipe(c, up)
	<-done
}

// PlatformLink, UpstreamLink and PeerLink name the connections between parts.
func PlatformLink(host int) string { return fmt.Sprintf("host-%d to platform", host+1) }

// UpstreamLink names the connections of all hosts to an upstream.
func UpstreamLink(id string) string { return "upstream " + id }

// PeerLink names the connections that one host has opened to another.
func PeerLink(from, to int) string { return fmt.Sprintf("host-%d to host-%d", from+1, to+1) }

// Cut breaks the connections of a link and refuses new ones until Heal.
func (n *Network) Cut(name string) {
	n.mu.Lock()
	p := n.proxies[name]
	n.mu.Unlock()
	if p != nil {
		p.Stop()
	}
}

// Heal ends Cut. The system may need a moment until the port of a stopped proxy is free again.
func (n *Network) Heal(name string) {
	n.t.Helper()
	n.mu.Lock()
	p := n.proxies[name]
	n.mu.Unlock()
	if p == nil {
		return
	}
	// Two overlapping cuts of a link are both healed.
	if err := startProxy(p); err != nil && !errors.Is(err, toxiproxy.ErrProxyAlreadyStarted) {
		n.t.Errorf("heal %s: %v", name, err)
	}
}

// CutPeers cuts a host from all other hosts, in both directions.
func (n *Network) CutPeers(host, hosts int) { n.eachPeer(host, hosts, n.Cut) }

// HealPeers ends CutPeers.
func (n *Network) HealPeers(host, hosts int) { n.eachPeer(host, hosts, n.Heal) }

func (n *Network) eachPeer(host, hosts int, f func(string)) {
	for i := range hosts {
		if i != host {
			f(PeerLink(host, i))
			f(PeerLink(i, host))
		}
	}
}

// Toxic is one fault of a link, see Shopify/toxiproxy: latency, bandwidth, slow_close, timeout,
// reset_peer, slicer, limit_data.
type Toxic struct {
	Name string `json:"name"`
	Type string `json:"type"`
	// Stream is "upstream" for the direction away from the dialing side, or "downstream".
	Stream     string         `json:"stream"`
	Toxicity   float64        `json:"toxicity"`
	Attributes map[string]int `json:"attributes"`
}

// Add puts a toxic on a link until Remove.
func (n *Network) Add(link string, x Toxic) {
	n.t.Helper()
	n.mu.Lock()
	p := n.proxies[link]
	n.mu.Unlock()
	if p == nil {
		n.t.Fatalf("no link %q", link)
	}
	if x.Toxicity == 0 {
		x.Toxicity = 1
	}
	data, err := json.Marshal(x)
	if err != nil {
		n.t.Fatal(err)
	}
	if _, err := p.Toxics.AddToxicJson(bytes.NewReader(data)); err != nil {
		n.t.Fatalf("add %s: %v", x.Name, err)
	}
}

// Remove takes a toxic off a link.
func (n *Network) Remove(link, name string) {
	n.t.Helper()
	n.mu.Lock()
	p := n.proxies[link]
	n.mu.Unlock()
	if p == nil {
		return
	}
	if err := p.Toxics.RemoveToxic(n.t.Context(), name); err != nil {
		n.t.Fatalf("remove %s: %v", name, err)
	}
}

func (n *Network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ln := range n.splits {
		_ = ln.Close()
	}
	for _, p := range n.proxies {
		p.Stop()
	}
}
