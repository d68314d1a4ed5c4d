package config

import (
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
)

// KeyRecord is the stored state of one caller key; the key itself is never stored.
// It lives at the key KeysPrefix + hex(sha256(caller key)).
type KeyRecord struct {
	ID        entity.KeyID       `json:"id"`
	Workspace entity.WorkspaceID `json:"workspace"`
	Issued    time.Time          `json:"issued"`
	// Withdrawn is zero while the key works. A withdrawal is a put and never a delete, so that
	// a host that polls for changes finds it.
	Withdrawn time.Time `json:"withdrawn,omitzero"`
	Attempt   string    `json:"attempt"`
}

// UpstreamRecord is one entry of the platform's list of upstreams.
type UpstreamRecord struct {
	ID entity.UpstreamID `json:"id"`
	// Kind is "engine" or the kind that routes of plain services name.
	Kind string `json:"kind"`
	// Addr is host:port of the upstream's HTTP server.
	Addr          string `json:"addr"`
	FailureDomain string `json:"failure_domain"`
	Accelerators  int    `json:"accelerators"`
	// MemoryBytes is the memory for models and adapters; zero for plain services.
	MemoryBytes int64 `json:"memory_bytes"`
	// State is "live" or "leaving".
	State string `json:"state"`
	// LeaveBy is when a leaving upstream goes away.
	LeaveBy time.Time `json:"leave_by,omitzero"`
	// ChecksFence says whether the upstream refuses orders with an old fencing number, also after
	// its process has restarted. An engine that forgets the numbers counts as one that ignores them.
	ChecksFence bool `json:"checks_fence"`
	// Checkpoints maps models to where their checkpoint is cached on this upstream: "memory" or
	// "disk"; models not listed are remote.
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

// HostRecord is the registration of one host under its lease.
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

// Paths below the configured prefix of the key-value service.
const (
	// ViewPrefix covers all keys that every host watches.
	ViewPrefix      = "v/"
	HeadKey         = "v/config/head"
	KeysPrefix      = "v/keys/"
	HostsPrefix     = "v/hosts/"
	UpstreamsPrefix = "v/upstreams/"
	LimitsPrefix    = "v/limits/"
	PlaceModels     = "v/place/model/"
	PlaceUpstreams  = "v/place/upstream/"
	DocumentsPrefix = "d/config/"
	AuditPrefix     = "a/"
	ClaimsPrefix    = "c/"
)
