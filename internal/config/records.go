package config

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// KeyRecord is the stored state of one caller key; the caller key itself is never stored. The record is stored
// at KeysPrefix + hex(sha256(caller key)).
type KeyRecord struct {
	ID        entity.KeyID       `json:"id"`
	Workspace entity.WorkspaceID `json:"workspace"`
	Issued    time.Time          `json:"issued"`
	// Withdrawn is the time of the withdrawal, or zero while the key is valid. A withdrawal changes the record
	// instead of deleting it, because a poll for changed records finds no deletions.
	Withdrawn time.Time `json:"withdrawn,omitzero"`
	// Attempt identifies the last write of the record, so that the write can be found again after a lost response.
	Attempt string `json:"attempt"`
}

// UpstreamRecord is one entry of the platform's list of upstreams, stored under UpstreamsPrefix.
type UpstreamRecord struct {
	ID entity.UpstreamID `json:"id"`
	// Kind is "engine", or the kind of a plain service as routes refer to it.
	Kind string `json:"kind"`
	// Addr is the host:port of the upstream's HTTP server.
	Addr          string `json:"addr"`
	FailureDomain string `json:"failure_domain"`
	Accelerators  int    `json:"accelerators"`
	// MemoryBytes is the memory for models and adapters; zero for plain services.
	MemoryBytes int64 `json:"memory_bytes"`
	// State is "live" or "leaving".
	State string `json:"state"`
	// LeaveBy is the time when a leaving upstream shuts down.
	LeaveBy time.Time `json:"leave_by,omitzero"`
	// ChecksFence reports whether the upstream refuses orders with an old fencing token, even after a restart of
	// its process. It is false for an engine that forgets the highest token at a restart.
	ChecksFence bool `json:"checks_fence"`
	// Checkpoints maps models to the place where their checkpoint is cached on this upstream: "memory" or
	// "disk". Checkpoints of models that are not listed are only in the weight store.
	Checkpoints map[entity.ModelID]string `json:"checkpoints,omitempty"`
}

// States of an upstream in the platform's list.
const (
	UpstreamLive    = "live"
	UpstreamLeaving = "leaving"
)

// States of a host in its registration.
const (
	HostLive     = "live"
	HostStopping = "stopping"
)

// HostRecord is the registration of one host, stored under HostsPrefix. It is bound to the host's lease, so that the
// key-value service deletes it when the host no longer renews the lease.
type HostRecord struct {
	ID            entity.HostID      `json:"id"`
	Incarnation   entity.Incarnation `json:"incarnation"`
	PeerAddr      string             `json:"peer_addr"`
	OperatorAddr  string             `json:"operator_addr"`
	CallerAddr    string             `json:"caller_addr"`
	FailureDomain string             `json:"failure_domain"`
	Region        string             `json:"region"`
	// State is "live" or "stopping".
	State   string    `json:"state"`
	Started time.Time `json:"started"`
}

// Keys and key prefixes, relative to the configured prefix of the installation.
const (
	// ViewPrefix is the prefix of the keys that every host watches.
	ViewPrefix               = "v/"
	HeadKey                  = "v/config/head"
	KeysPrefix               = "v/keys/"
	HostsPrefix              = "v/hosts/"
	UpstreamsPrefix          = "v/upstreams/"
	LimitsPrefix             = "v/limits/"
	PlacementModelsPrefix    = "v/place/model/"
	PlacementUpstreamsPrefix = "v/place/upstream/"
	DocumentsPrefix          = "d/config/"
	AuditPrefix              = "a/"
	ClaimsPrefix             = "c/"
)
