// Package host builds a foxtailpass host from its components and runs it from start to graceful shutdown.
package host

import (
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/settings"
)

// Settings is the JSON settings file of a host. In the validate tags, the bounds of durations are in nanoseconds.
type Settings struct {
	// Host is the name of this host. It is unique in the installation and stays the same across restarts.
	Host entity.HostID `json:"host" validate:"required"`
	// Site selects the overlay of the configuration.
	Site string `json:"site" validate:"required"`
	// Region and FailureDomain state the location of the host. Hosts that one fault can take down together have
	// the same failure domain.
	Region        string `json:"region" validate:"required"`
	FailureDomain string `json:"failure_domain" validate:"required"`
	// CallerAddr is the address on which callers are served.
	CallerAddr string `json:"caller_addr" validate:"ip_port"`
	// OperatorAddr serves metrics, health and status. It must not be reachable by callers.
	OperatorAddr string `json:"operator_addr" validate:"ip_port"`
	// PeerAddr is the address on which the host listens for other hosts.
	PeerAddr string `json:"peer_addr" validate:"ip_port"`
	// PeerAdvertise is the address under which other hosts reach PeerAddr, if it differs.
	PeerAdvertise string `json:"peer_advertise,omitempty" validate:"omitempty,ip_port"`
	// PeerSource is the local IP address from which other hosts are dialed, for machines with several addresses.
	PeerSource string `json:"peer_source,omitempty" validate:"omitempty,ip"`
	// Platform configures access to the key-value service.
	Platform PlatformSettings `json:"platform"`
	// LeaseTTL is how long the registration of this host stays in the key-value service after its last renewal,
	// for example after the host has failed. Default 5s.
	LeaseTTL settings.Duration `json:"lease_ttl" default:"\"5s\"" validate:"gte=1000000000,lte=60000000000"`
	// StopLag is how long a stopping host continues to accept requests after its readiness fails: the time
	// that the balancer takes to notice the failed readiness. Default 5s.
	StopLag settings.Duration `json:"stop_lag" default:"\"5s\"" validate:"gte=0,lte=300000000000"`
	// StopLimit limits the duration of the whole graceful shutdown. Default 1h.
	StopLimit settings.Duration `json:"stop_limit" default:"\"1h\"" validate:"gte=1000000000,lte=86400000000000"`
	// ReportInterval is the time between two reads of an engine's state report. Default 100ms.
	ReportInterval settings.Duration `json:"report_interval" default:"\"100ms\"" validate:"gte=10000000,lte=10000000000"`
	// MaxConnections limits the connections of callers. Default 20000.
	MaxConnections int `json:"max_connections" default:"20000" validate:"gte=1"`
	// Policies selects decision policies. Production uses the defaults, measurements also the baselines.
	Policies PolicySettings `json:"policies"`
	// Log configures the log.
	Log LogSettings `json:"log"`
}

// PlatformSettings configures access to the key-value service.
type PlatformSettings struct {
	// Endpoints are the addresses, in the form IP:port, of the JSON gateway of the service.
	Endpoints []string `json:"endpoints" validate:"min=1,dive,ip_port"`
	// Prefix is the part of the key space that belongs to this installation. Default "foxtailpass/".
	Prefix string `json:"prefix" default:"\"foxtailpass/\"" validate:"required,endswith=/"`
	// Timeout limits the duration of one call. Default 1s.
	Timeout settings.Duration `json:"timeout" default:"\"1s\"" validate:"gte=10000000,lte=60000000000"`
}

// PolicySettings selects decision policies.
type PolicySettings struct {
	// Limits is "loans" or the baseline "static".
	Limits string `json:"limits" default:"\"loans\"" validate:"oneof=loans static"`
	// Queue is "fair" or the baseline "fifo".
	Queue string `json:"queue" default:"\"fair\"" validate:"oneof=fair fifo"`
	// Replica is "power_of_two" or the baseline "random".
	Replica string `json:"replica" default:"\"power_of_two\"" validate:"oneof=power_of_two random"`
	// Placement is "demand" or one of the baselines "random", "fifo", "keep" and "per_host"; see
	// placement.Policy.
	Placement string `json:"placement" default:"\"demand\"" validate:"oneof=demand random fifo keep per_host"`
}

// LogSettings configures the log.
type LogSettings struct {
	// Level is the lowest level that is logged. Default "info".
	Level string `json:"level" default:"\"info\"" validate:"oneof=debug info warn error"`
	// Format is "text", "logfmt" or "json". Default "text".
	Format string `json:"format" default:"\"text\"" validate:"oneof=text logfmt json"`
}
