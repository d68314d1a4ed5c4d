// Package site puts stand-ins together: the platform's list of upstreams, and a whole local site
// with hosts in one process, for the demo and for tests.
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

// filePoll is the time between two looks at the file of a Registry.
const filePoll = 200 * time.Millisecond

// Registry plays the part of the platform that lists live and leaving upstreams, with a lag.
type Registry struct {
	kv  kvstore.KV
	lag time.Duration
	// listed holds what has been written.
	listed map[entity.UpstreamID]string
}

// NewRegistry returns a registry that writes changes after the lag.
func NewRegistry(kv kvstore.KV, lag time.Duration) *Registry {
	return &Registry{kv: kv, lag: lag, listed: make(map[entity.UpstreamID]string)}
}

// Set makes the list equal to the records, after the lag.
func (r *Registry) Set(ctx context.Context, list []config.UpstreamRecord) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(r.lag):
	}
	keep := make(map[entity.UpstreamID]bool, len(list))
	for _, u := range list {
		keep[u.ID] = true
		if err := r.put(ctx, u); err != nil {
			return err
		}
	}
	for id := range r.listed {
		if keep[id] {
			continue
		}
		key := config.UpstreamsPrefix + string(id)
		if _, err := r.kv.Txn(ctx, kvstore.Txn{Success: []kvstore.Op{{Kind: kvstore.OpDelete, Key: key}}}); err != nil {
			return fmt.Errorf("site: remove upstream %s: %w", id, err)
		}
		delete(r.listed, id)
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
	if r.listed[u.ID] == string(value) {
		return nil
	}
	key := config.UpstreamsPrefix + string(u.ID)
	if _, err := r.kv.Txn(ctx, kvstore.Txn{Success: []kvstore.Op{kvstore.Put(key, value)}}); err != nil {
		return fmt.Errorf("site: list upstream %s: %w", u.ID, err)
	}
	r.listed[u.ID] = string(value)
	return nil
}

// Follow lists what a JSON file holds and follows its changes until ctx ends. A file that cannot
// be read is reported and leaves the list as it is.
func (r *Registry) Follow(ctx context.Context, file string, report func(error)) {
	var seen time.Time
	for {
		info, err := os.Stat(file)
		if err == nil && !info.ModTime().Equal(seen) {
			seen = info.ModTime()
			err = r.load(ctx, file)
		}
		if err != nil && !errors.Is(err, context.Canceled) {
			report(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(filePoll):
		}
	}
}

func (r *Registry) load(ctx context.Context, file string) error {
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
