package host

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/control"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/gateway"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
	"github.com/foxtailpass/foxtailpass/internal/peer"
	"github.com/foxtailpass/foxtailpass/internal/view"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// documentRetry is the pause before documents that nobody could deliver are asked for again.
	documentRetry = 200 * time.Millisecond
	// documentTimeout bounds one call of the service for a document.
	documentTimeout = time.Second
	// maxDocuments bounds the kept documents; older ones are fetched again when needed.
	maxDocuments = 32
)

// errNoDocument means that neither the service nor a peer has delivered a document yet.
var errNoDocument = errors.New("host: document not available yet")

// siteWatcher puts the newest configuration and keys of the view in force. It is the only
// writer of the gateway's state.
type siteWatcher struct {
	site    string
	kv      kvstore.KV
	peers   *peer.Manager
	gateway *gateway.Gateway
	log     *log.Logger
	send    func(control.Event)

	// heads carries the newest head record to the goroutine that fetches documents.
	heads chan config.Head

	mu        sync.Mutex
	documents map[string][]byte
	order     []string
	arrived   chan struct{}
	keys      *config.KeyTable
	current   *config.Site

	// revision is the configuration revision in force.
	revision atomic.Int64
	// failed is the revision that could not be compiled, zero if none.
	failed atomic.Int64
}

func newSiteWatcher(site string, kv kvstore.KV, p *peer.Manager, g *gateway.Gateway, l *log.Logger, send func(control.Event)) (*siteWatcher, error) {
	keys, err := config.NewKeyTable(nil)
	if err != nil {
		return nil, fmt.Errorf("host: empty key table: %w", err)
	}
	return &siteWatcher{
		site:      site,
		kv:        kv,
		peers:     p,
		gateway:   g,
		log:       l,
		send:      send,
		heads:     make(chan config.Head, 1),
		documents: make(map[string][]byte),
		arrived:   make(chan struct{}, 1),
		keys:      keys,
	}, nil
}

// viewChanged takes over changed heads and keys. It is called by the view, one call at a time.
func (w *siteWatcher) viewChanged(changed []string, s *view.Snapshot) {
	var keys []kvstore.Pair
	for _, k := range changed {
		switch {
		case k == config.HeadKey:
			w.headChanged(s)
		case strings.HasPrefix(k, config.KeysPrefix):
			if e, ok := s.Get(k); ok {
				keys = append(keys, kvstore.Pair{Key: k, Value: e.Value, ModRevision: e.ModRevision})
			}
		}
	}
	if len(keys) > 0 {
		w.keysChanged(keys)
	}
}

func (w *siteWatcher) headChanged(s *view.Snapshot) {
	e, ok := s.Get(config.HeadKey)
	if !ok {
		return
	}
	head, err := config.ParseHead(kvstore.Pair{Key: config.HeadKey, Value: e.Value, ModRevision: e.ModRevision})
	if err != nil {
		w.log.Error("Configuration head cannot be read.", "err", err)
		return
	}
	// Only the newest head counts: one that waits is replaced.
	select {
	case <-w.heads:
	default:
	}
	w.heads <- head
}

// keysChanged puts changed keys in force and ends the requests of withdrawn ones.
func (w *siteWatcher) keysChanged(pairs []kvstore.Pair) {
	w.mu.Lock()
	next, err := w.keys.Update(pairs)
	if next != nil {
		w.keys = next
	}
	w.publish()
	w.mu.Unlock()
	if err != nil {
		w.log.Error("Key records cannot be read.", "err", err)
	}
	withdrawn := make(map[entity.KeyID]bool)
	for _, p := range pairs {
		var rec config.KeyRecord
		if json.Unmarshal(p.Value, &rec) == nil && !rec.Withdrawn.IsZero() {
			withdrawn[rec.ID] = true
		}
	}
	if len(withdrawn) > 0 {
		w.log.Info("Keys withdrawn.", "count", len(withdrawn))
		w.send(control.KeysWithdrawn{Keys: withdrawn})
	}
}

// publish hands the current site and keys to the gateway; mu must be held.
func (w *siteWatcher) publish() {
	w.gateway.SetState(&gateway.State{Site: w.current, Keys: w.keys})
}

// run puts the newest head in force until ctx ends.
func (w *siteWatcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case head := <-w.heads:
			w.follow(ctx, head)
		}
	}
}

// follow tries until the head or a newer one is in force.
func (w *siteWatcher) follow(ctx context.Context, head config.Head) {
	for {
		err := w.apply(ctx, head)
		if err == nil {
			return
		}
		if !errors.Is(err, errNoDocument) {
			w.failed.Store(head.Revision)
			w.log.Error("Configuration not put in force.", "revision", head.Revision, "err", err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case newer := <-w.heads:
			head = newer
		case <-w.arrived:
		case <-time.After(documentRetry):
		}
	}
}

func (w *siteWatcher) apply(ctx context.Context, head config.Head) error {
	if head.Revision <= w.revision.Load() {
		return nil
	}
	base, err := w.document(ctx, head.Base)
	if err != nil {
		return err
	}
	var overlay []byte
	if digest := head.Overlays[w.site]; digest != "" {
		if overlay, err = w.document(ctx, digest); err != nil {
			return err
		}
	}
	site, err := config.Compile(w.site, head.Revision, base, overlay)
	if err != nil {
		return fmt.Errorf("host: compile: %w", err)
	}
	// The control state comes first: a request for a new model must not reach it before the site.
	w.send(control.SiteChanged{Site: site})
	w.mu.Lock()
	w.current = site
	w.publish()
	w.mu.Unlock()
	w.revision.Store(head.Revision)
	w.log.Info("Configuration in force.", "revision", head.Revision, "models", len(site.Models), "workspaces", len(site.Workspaces))
	return nil
}

// document returns a document by digest, from memory or the service. Peers are asked as well,
// and their answers are found in memory at the next try.
func (w *siteWatcher) document(ctx context.Context, digest string) ([]byte, error) {
	if data, ok := w.kept(digest); ok {
		return data, nil
	}
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	pair, _, err := w.kv.Get(ctx, config.DocumentsPrefix+digest)
	if err == nil && pair != nil && w.keep(digest, pair.Value) {
		return pair.Value, nil
	}
	for _, l := range w.peers.Links() {
		w.peers.Send(l.Host, &wire.DocumentRequest{Digest: digest})
	}
	return nil, fmt.Errorf("%w: %s", errNoDocument, digest)
}

func (w *siteWatcher) kept(digest string) ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	data, ok := w.documents[digest]
	return data, ok
}

// keep stores a document whose digest matches.
func (w *siteWatcher) keep(digest string, data []byte) bool {
	if config.Digest(data) != digest {
		w.log.Error("Document does not match its digest.", "digest", digest)
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.documents[digest]; ok {
		return true
	}
	w.documents[digest] = bytes.Clone(data)
	w.order = append(w.order, digest)
	if len(w.order) > maxDocuments {
		delete(w.documents, w.order[0])
		w.order = w.order[1:]
	}
	return true
}

// handleRequest answers a peer that asks for a document.
func (w *siteWatcher) handleRequest(from entity.HostID, m *wire.DocumentRequest) {
	data, _ := w.kept(m.Digest)
	w.peers.Send(from, &wire.Document{Digest: m.Digest, Data: data})
}

// handleDocument takes over a document that a peer has sent.
func (w *siteWatcher) handleDocument(m *wire.Document) {
	if len(m.Data) == 0 || !w.keep(m.Digest, m.Data) {
		return
	}
	select {
	case w.arrived <- struct{}{}:
	default:
	}
}
