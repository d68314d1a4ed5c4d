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
	// documentRetry is the delay before a document that neither the service nor a peer has delivered is
	// requested again.
	documentRetry = 200 * time.Millisecond
	// documentTimeout limits one read of a document from the key-value service.
	documentTimeout = time.Second
	// maxDocuments limits the number of documents in memory. A removed document is fetched again when it is
	// needed.
	maxDocuments = 32
)

// errNoDocument means that neither the service nor a peer has delivered a document yet.
var errNoDocument = errors.New("host: document not available yet")

// siteWatcher activates the newest configuration and keys of the view. A head record in the view names, by digest,
// the documents that make up a configuration: a base for all sites and an overlay for each site. siteWatcher is the
// only writer of the gateway's state.
type siteWatcher struct {
	site    string
	kv      kvstore.KV
	peers   *peer.Manager
	gateway *gateway.Gateway
	log     *log.Logger
	send    func(control.Event)

	// pendingHead holds the newest head record for the goroutine that fetches documents.
	pendingHead chan config.Head

	mu sync.Mutex
	// documents holds documents by digest, and documentOrder their digests, oldest first.
	documents     map[string][]byte
	documentOrder []string
	// documentArrived wakes applyWithRetry when a peer has sent a document.
	documentArrived chan struct{}
	keys            *config.KeyTable
	current         *config.Site

	// revision is the active configuration revision.
	revision atomic.Int64
	// failedRevision is the last configuration revision that could not be compiled, zero if there has been none.
	failedRevision atomic.Int64
}

func newSiteWatcher(site string, kv kvstore.KV, p *peer.Manager, g *gateway.Gateway, l *log.Logger, send func(control.Event)) (*siteWatcher, error) {
	keys, err := config.NewKeyTable(nil)
	if err != nil {
		return nil, fmt.Errorf("host: empty key table: %w", err)
	}
	return &siteWatcher{
		site:            site,
		kv:              kv,
		peers:           p,
		gateway:         g,
		log:             l,
		send:            send,
		pendingHead:     make(chan config.Head, 1),
		documents:       make(map[string][]byte),
		documentArrived: make(chan struct{}, 1),
		keys:            keys,
	}, nil
}

// handleViewChanged processes a changed head record and changed key records. Its calls must not overlap.
func (w *siteWatcher) handleViewChanged(changed []string, s *view.Snapshot) {
	var keys []kvstore.Pair
	for _, k := range changed {
		switch {
		case k == config.HeadKey:
			w.queueHead(s)
		case strings.HasPrefix(k, config.KeysPrefix):
			if e, ok := s.Get(k); ok {
				keys = append(keys, kvstore.Pair{Key: k, Value: e.Value, ModRevision: e.ModRevision})
			}
		}
	}
	if len(keys) > 0 {
		w.applyKeys(keys)
	}
}

// queueHead passes the head record of the snapshot to the goroutine of run.
func (w *siteWatcher) queueHead(s *view.Snapshot) {
	e, ok := s.Get(config.HeadKey)
	if !ok {
		return
	}
	head, err := config.ParseHead(kvstore.Pair{Key: config.HeadKey, Value: e.Value, ModRevision: e.ModRevision})
	if err != nil {
		w.log.Error("Configuration head cannot be read.", "err", err)
		return
	}
	// Only the newest head matters, so it replaces a head that is still waiting.
	select {
	case <-w.pendingHead:
	default:
	}
	w.pendingHead <- head
}

// applyKeys activates changed keys and ends the requests of withdrawn ones.
func (w *siteWatcher) applyKeys(pairs []kvstore.Pair) {
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

// publish passes the current site and keys to the gateway; mu must be held.
func (w *siteWatcher) publish() {
	w.gateway.SetState(&gateway.State{Site: w.current, Keys: w.keys})
}

// run activates each queued head until ctx ends.
func (w *siteWatcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case head := <-w.pendingHead:
			w.applyWithRetry(ctx, head)
		}
	}
}

// applyWithRetry activates a head, and repeats this while documents are missing. It continues with a newer head if
// one arrives, and returns when the head is active or proves invalid.
func (w *siteWatcher) applyWithRetry(ctx context.Context, head config.Head) {
	for {
		err := w.apply(ctx, head)
		if err == nil {
			return
		}
		if !errors.Is(err, errNoDocument) {
			w.failedRevision.Store(head.Revision)
			w.log.Error("Configuration not put in force.", "revision", head.Revision, "err", err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case newer := <-w.pendingHead:
			head = newer
		case <-w.documentArrived:
		case <-time.After(documentRetry):
		}
	}
}

// apply fetches the documents of a head, compiles them and activates the result. It ignores a head that is not
// newer than the active one.
func (w *siteWatcher) apply(ctx context.Context, head config.Head) error {
	if head.Revision <= w.revision.Load() {
		return nil
	}
	base, err := w.fetchDocument(ctx, head.Base)
	if err != nil {
		return err
	}
	var overlay []byte
	if digest := head.Overlays[w.site]; digest != "" {
		if overlay, err = w.fetchDocument(ctx, digest); err != nil {
			return err
		}
	}
	site, err := config.Compile(w.site, head.Revision, base, overlay)
	if err != nil {
		return fmt.Errorf("host: compile: %w", err)
	}
	// The control state gets the site before the gateway: a request for a new model must not reach the
	// control state before the site does.
	w.send(control.SiteChanged{Site: site})
	w.mu.Lock()
	w.current = site
	w.publish()
	w.mu.Unlock()
	w.revision.Store(head.Revision)
	w.log.Info("Configuration in force.", "revision", head.Revision, "models", len(site.Models), "workspaces", len(site.Workspaces))
	return nil
}

// fetchDocument returns the document with the given digest from memory or from the key-value service. If neither has
// it, fetchDocument requests it from all peers and returns errNoDocument. A later call finds the answer in memory.
func (w *siteWatcher) fetchDocument(ctx context.Context, digest string) ([]byte, error) {
	if data, ok := w.cachedDocument(digest); ok {
		return data, nil
	}
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	pair, _, err := w.kv.Get(ctx, config.DocumentsPrefix+digest)
	if err == nil && pair != nil && w.cacheDocument(digest, pair.Value) {
		return pair.Value, nil
	}
	for _, l := range w.peers.Links() {
		w.peers.Send(l.Host, &wire.DocumentRequest{Digest: digest})
	}
	return nil, fmt.Errorf("%w: %s", errNoDocument, digest)
}

func (w *siteWatcher) cachedDocument(digest string) ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	data, ok := w.documents[digest]
	return data, ok
}

// cacheDocument stores a document in memory if it has the given digest, and reports whether it does.
func (w *siteWatcher) cacheDocument(digest string, data []byte) bool {
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
	w.documentOrder = append(w.documentOrder, digest)
	if len(w.documentOrder) > maxDocuments {
		delete(w.documents, w.documentOrder[0])
		w.documentOrder = w.documentOrder[1:]
	}
	return true
}

// handleDocumentRequest answers a peer that requests a document. The answer has no data if the document is not in
// memory.
func (w *siteWatcher) handleDocumentRequest(from entity.HostID, m *wire.DocumentRequest) {
	data, _ := w.cachedDocument(m.Digest)
	w.peers.Send(from, &wire.Document{Digest: m.Digest, Data: data})
}

// handleDocument stores a document that a peer has sent and wakes applyWithRetry.
func (w *siteWatcher) handleDocument(m *wire.Document) {
	if len(m.Data) == 0 || !w.cacheDocument(m.Digest, m.Data) {
		return
	}
	select {
	case w.documentArrived <- struct{}{}:
	default:
	}
}
