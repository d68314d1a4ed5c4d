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

// maxHosts is the maximum number of hosts of a site.
const maxHosts = 8

func settingsDuration(d time.Duration) settings.Duration { return settings.Duration(d) }

// Network holds the proxies on the connections between the parts of a site. A link is a proxy with the name under
// which tests cut it or inject toxics.
type Network struct {
	t      testing.TB
	server *toxiproxy.ApiServer
	kvAddr string

	mu            sync.Mutex
	proxies       map[string]*toxiproxy.Proxy
	peerListeners []net.Listener
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

// Link returns the address of the proxy for a named link to addr and starts the proxy if it does not exist yet.
func (n *Network) Link(name, addr string) string { return n.proxy(name, addr) }

// proxy returns the address of the named proxy and starts the proxy if it does not exist yet.
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

// startProxy retries for up to 2 s while the port is in use. A process that another site forks at this
// moment holds a copy of the closed listener until it executes its program.
func startProxy(p *toxiproxy.Proxy) error {
	err := p.Start()
	for end := time.Now().Add(2 * time.Second); err != nil && !errors.Is(err, toxiproxy.ErrProxyAlreadyStarted) && time.Now().Before(end); err = p.Start() {
		time.Sleep(10 * time.Millisecond)
	}
	return err
}

func (n *Network) platformAddr(host int) string {
	return n.proxy(PlatformLink(host), n.kvAddr)
}

func (n *Network) upstreamAddr(id, addr string) string { return n.proxy(UpstreamLink(id), addr) }

// peerAddr returns the address under which the other hosts reach a host. The source address of a connection
// identifies the host that opened it, and each pair of hosts has a proxy of its own.
func (n *Network) peerAddr(host int, addr string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	n.mu.Lock()
	n.peerListeners = append(n.peerListeners, ln)
	n.mu.Unlock()
	// The proxies must exist before the first connection: Cut has no effect on a link without a proxy.
	for from := range maxHosts {
		if from != host {
			n.proxy(PeerLink(from, host), addr)
		}
	}
	go n.forwardPeers(ln, host, addr)
	return ln.Addr().String()
}

// forwardPeers accepts connections to a host and forwards each through the proxy of the host that opened it.
func (n *Network) forwardPeers(ln net.Listener, to int, addr string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		from := sourceHost(c)
		go forward(c, n.proxy(PeerLink(from, to), addr))
	}
}

// sourceHost returns the index of the host that opened the connection, which it derives from the loopback
// address.
func sourceHost(c net.Conn) int {
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	var i int
	_, _ = fmt.Sscanf(strings.TrimPrefix(ip, loopback+".1."), "%d", &i)
	return i - 1
}

// forward copies data between c and a new connection to addr until one direction ends.
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

// PlatformLink returns the name of the link from a host to the platform.
func PlatformLink(host int) string { return fmt.Sprintf("host-%d to platform", host+1) }

// UpstreamLink returns the name of the link from all hosts to an upstream.
func UpstreamLink(id string) string { return "upstream " + id }

// PeerLink returns the name of the link for the connections that one host opens to another.
func PeerLink(from, to int) string { return fmt.Sprintf("host-%d to host-%d", from+1, to+1) }

// Cut closes the connections of a link and refuses new connections until Heal. It ignores an unknown link.
func (n *Network) Cut(name string) {
	n.mu.Lock()
	p := n.proxies[name]
	n.mu.Unlock()
	if p != nil {
		p.Stop()
	}
}

// Heal ends a cut of a link. It retries for a short time if the port of the stopped proxy is in use (see startProxy).
func (n *Network) Heal(name string) {
	n.t.Helper()
	n.mu.Lock()
	p := n.proxies[name]
	n.mu.Unlock()
	if p == nil {
		return
	}
	// If two cuts of a link overlap, the second Heal finds the proxy started already.
	if err := startProxy(p); err != nil && !errors.Is(err, toxiproxy.ErrProxyAlreadyStarted) {
		n.t.Errorf("heal %s: %v", name, err)
	}
}

// CutPeers cuts the links between a host and all other hosts, in both directions. hosts is the number of hosts.
func (n *Network) CutPeers(host, hosts int) { n.eachPeer(host, hosts, n.Cut) }

// HealPeers ends the cuts of CutPeers.
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

// InjectToxic adds a toxic to a link; ClearToxic removes it.
func (n *Network) InjectToxic(link string, x Toxic) {
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

// ClearToxic removes the named toxic from a link.
func (n *Network) ClearToxic(link, name string) {
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
	for _, ln := range n.peerListeners {
		_ = ln.Close()
	}
	for _, p := range n.proxies {
		p.Stop()
	}
}
