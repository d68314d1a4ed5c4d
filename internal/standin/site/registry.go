// Package site combines the stand-ins into a whole local site with hosts in one process, for the demo and for
// tests. It also has a stand-in for the platform's list of upstreams.
package site

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/kvstore"
)

// filePollInterval is the time between two checks whether the file of a Registry has changed.
const filePollInterval = 200 * time.Millisecond

// Registry is a stand-in for the platform's list of live and leaving upstreams. It writes changes to the
// key-value service after a lag.
type Registry struct {
	kv  kvstore.KV
	lag time.Duration
	// written holds the records that have been written, as JSON.
	written map[entity.UpstreamID]string
}

// NewRegistry returns a registry that writes changes after the lag.
func NewRegistry(kv kvstore.KV, lag time.Duration) *Registry {
	return &Registry{kv: kv, lag: lag, written: make(map[entity.UpstreamID]string)}
}

// Set waits for the lag, replaces the list and returns.
func (r *Registry) Set(ctx context.Context, list []config.UpstreamRecord) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(r.lag):
	}
	wanted := make(map[entity.UpstreamID]bool, len(list))
	for _, u := range list {
		wanted[u.ID] = true
		if err := r.put(ctx, u); err != nil {
			return err
		}
	}
	for id := range r.written {
		if wanted[id] {
			continue
		}
		key := config.UpstreamsPrefix + string(id)
		if _, err := r.kv.Txn(ctx, kvstore.Txn{Success: []kvstore.Op{{Kind: kvstore.OpDelete, Key: key}}}); err != nil {
			return fmt.Errorf("site: remove upstream %s: %w", id, err)
		}
		delete(r.written, id)
	}
	return nil
}

func (r *Registry) put(ctx context.Context, u config.UpstreamRecord) error {
	if u.State == "" {
		u.State = config.UpstreamLive
	}
	value, err := json.Marshal(u)
	if err != nil {
		return fmt.Errorf("site: encode upstream %s: %w", u.ID, err)
	}
	if r.written[u.ID] == string(value) {
		return nil
	}
	key := config.UpstreamsPrefix + string(u.ID)
	if _, err := r.kv.Txn(ctx, kvstore.Txn{Success: []kvstore.Op{kvstore.Put(key, value)}}); err != nil {
		return fmt.Errorf("site: list upstream %s: %w", u.ID, err)
	}
	r.written[u.ID] = string(value)
	return nil
}

// Follow sets the list to the records in a JSON file, and again whenever the file changes, until ctx ends. If
// the file cannot be read, Follow reports the error and leaves the list as it is.
func (r *Registry) Follow(ctx context.Context, file string, report func(error)) {
	var lastModTime time.Time
	for {
		info, err := os.Stat(file)
		if err == nil && !info.ModTime().Equal(lastModTime) {
			lastModTime = info.ModTime()
			err = r.applyFile(ctx, file)
		}
		if err != nil && !errors.Is(err, context.Canceled) {
			report(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(filePollInterval):
		}
	}
}

func (r *Registry) applyFile(ctx context.Context, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("site: %w", err)
	}
	var list []config.UpstreamRecord
	if err := json.Unmarshal(data, &list); err != nil {
		return fmt.Errorf("site: %s: %w", file, err)
	}
	return r.Set(ctx, list)
}
