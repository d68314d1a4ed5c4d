package edge

import (
	"math"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/quota"
	"github.com/foxtailpass/foxtailpass/internal/settings"
)

// Settings is the settings file of an entry host.
type Settings struct {
	// Host names this host; it stays the same across restarts of the process.
	Host entity.HostID `json:"host" validate:"required"`
	// FailureDomain and Region are the location of the host.
	FailureDomain string `json:"failure_domain" validate:"required"`
	Region        string `json:"region"`
	// CallerAddr serves callers, ReadyAddr the readiness checks of the balancer.
	CallerAddr string `json:"caller_addr" validate:"required,ip_port"`
	ReadyAddr  string `json:"ready_addr" validate:"required,ip_port"`
	// PeerAddr serves the other hosts.
	PeerAddr string `json:"peer_addr" validate:"required,ip_port"`
	// OperatorAddr serves metrics and status.
	OperatorAddr string `json:"operator_addr" validate:"required,ip_port"`
	// Store is the key-value service.
	Store StoreSettings `json:"store"`
	// Bounds are the limits that the site has agreed on.
	Bounds Bounds `json:"bounds"`
	// Cores is the number of processor cores, or the fraction of one, that this host may use, and CoreSpeed the
	// relative speed of one core. Hosts with much more processor capacity are preferred as coordinator.
	Cores     float64 `json:"cores" default:"1" validate:"gt=0"`
	CoreSpeed float64 `json:"core_speed" default:"1" validate:"gt=0"`
	// MemoryMB bounds the memory of the process; the runtime collects garbage more often near it. See memoryBudget for the
	// part that connections, requests and answers may occupy.
	MemoryMB int64 `json:"memory_mb" default:"256" validate:"min=32"`
	// FileDescriptors bounds the open descriptors of the process. See connectionLimits.
	FileDescriptors int `json:"file_descriptors" default:"4096" validate:"min=256"`
	// BalancerLag is the time after which the balancer sends no new connections to a host that is not ready; a
	// stopping host accepts connections for at least that long. The balancer checks once a second and needs two
	// failed checks.
	BalancerLag settings.Duration `json:"balancer_lag" default:"\"2500ms\""`
	// Sharing selects how scarce capacity is shared.
	Sharing Sharing `json:"sharing"`
	// Log is the level of the log.
	Log LogSettings `json:"log"`
}

const (
	// calmMemory is what the process occupies without requests: its program, the runtime and the control state.
	calmMemory = 24 << 20
	// minMemoryShare is the share of the memory that connections, requests and answers may occupy at least.
	minMemoryShare = 4
	// reserveShare is the share of that which large requests and answers leave to connections and small requests.
	reserveShare = 4
	// runtimeMemoryPercent is the share of the memory at which the runtime collects garbage more often, in percent, and
	// programMemory what the program itself occupies, which the runtime does not count.
	runtimeMemoryPercent = 85
	programMemory        = 18 << 20
	// MinFileDescriptors is the least value of Settings.FileDescriptors.
	MinFileDescriptors = 256
	// defaultFileDescriptors is the default of Settings.FileDescriptors.
	defaultFileDescriptors = 4096
	// reservedDescriptors are the descriptors for files, listeners, the key-value service and the coordinator.
	reservedDescriptors = 200
)

// memoryBudget returns the memory in bytes that connections, requests and answers may occupy, and the part of it that large
// ones leave free. It is half of what a calm process leaves, because memory that is no longer in use stays occupied until
// the runtime collects it.
func (s Settings) memoryBudget() (total, reserve int64) {
	memory := s.MemoryMB << 20
	total = max((memory-calmMemory)/2, memory/minMemoryShare)
	return total, total / reserveShare
}

// RuntimeMemoryLimit returns the memory limit in bytes for the runtime of the process.
func (s Settings) RuntimeMemoryLimit() int64 {
	memory := s.MemoryMB << 20
	return max(min(memory/100*runtimeMemoryPercent, memory-programMemory), memory/2)
}

// connectionLimits are the numbers of connections that the listeners may have.
type connectionLimits struct{ callers, ready, peers, operators int }

// connectionLimits divides the descriptors. Each connection of a caller may need another one to an upstream, some of which
// stay open for later requests; a third of the rest is for these.
func (s Settings) connectionLimits() connectionLimits {
	n := s.FileDescriptors
	if n == 0 {
		n = defaultFileDescriptors
	}
	n -= reservedDescriptors
	l := connectionLimits{ready: max(min(n/8, maxReadyConnections), 1), operators: max(min(n/16, maxOperatorConnections), 1), peers: max(n/4, 1)}
	l.callers = min(max((n-l.ready-l.operators-l.peers)*2/3, 1), maxConnections)
	return l
}

// StoreSettings configures the access to the key-value service.
type StoreSettings struct {
	Addr string `json:"addr" validate:"required,ip_port"`
	// Prefix is put before all keys of this installation.
	Prefix string `json:"prefix" default:"\"foxtailpass/\"" validate:"required"`
	// Timeout bounds one call.
	Timeout settings.Duration `json:"timeout" default:"\"1s\""`
}

// Bounds are the limits that the site has agreed on. Durations are in whole milliseconds or in seconds, as the
// site gives them.
type Bounds struct {
	// RevocationMillis is how long after its withdrawal a key may still work. FailClosed reports whether
	// requests with keys are refused rather than served with an older view.
	RevocationMillis int64 `json:"revocation_ms" default:"5000" validate:"min=500"`
	FailClosed       bool  `json:"fail_closed" default:"true"`
	// RetryRatio, RetryExtra and RetryWindowSeconds bound the retries of all hosts at one service: each request
	// allows RetryRatio retries, and RetryExtra retries are allowed in addition in each window.
	RetryRatio         float64 `json:"retry_ratio" default:"0.2" validate:"min=0"`
	RetryExtra         float64 `json:"retry_extra" default:"10" validate:"min=0"`
	RetryWindowSeconds float64 `json:"retry_window_s" default:"10" validate:"gt=0"`
	// QuotaTolerance is the number of tokens by which the hosts together may overdraw a workspace.
	QuotaTolerance float64 `json:"quota_tolerance" default:"0" validate:"min=0"`
	// QuotaOvershoot is the fraction of its rate and burst by which the hosts together may exceed them.
	QuotaOvershoot float64 `json:"quota_overshoot" default:"0" validate:"min=0,max=1"`
	// OrderGapMillis is the least time between the orders of two coordinators.
	OrderGapMillis int64 `json:"order_gap_ms" default:"3000" validate:"min=0"`
	// DrainMillis is the time after which a draining upstream must get no more requests.
	DrainMillis int64 `json:"drain_ms" default:"2000" validate:"min=500"`
	// GraceSeconds is the time from the stop request to the end of the process.
	GraceSeconds float64 `json:"grace_s" default:"8" validate:"min=1"`
	// QuotaWindowSeconds is the window over which compliance with the limits of workspaces is measured.
	QuotaWindowSeconds float64 `json:"quota_window_s" default:"8" validate:"gt=0"`
}

// Sharing selects how scarce capacity is shared among requests, workspaces and upstreams. Every part that is off leaves
// the decisions as they are without it.
type Sharing struct {
	// RateUrgency grants the tokens of a workspace that exceeds its rate by the urgency of its requests.
	RateUrgency bool `json:"rate_urgency"`
	// FairShares divides upstreams and loads of models among the workspaces that compete for them.
	FairShares bool `json:"fair_shares"`
	// WorkspaceWeights multiply the shares of workspaces, 1 for those that are not listed.
	WorkspaceWeights map[entity.WorkspaceID]float64 `json:"workspace_weights" validate:"dive,gt=0,lte=1000"`
	// ReplicaSpeeds chooses upstreams, and engines for further replicas, by their observed speed.
	ReplicaSpeeds bool `json:"replica_speeds"`
	// PrefillBudget bounds the prompt tokens that an upstream reads at once, so that long prompts do not hold up the
	// streams that run there. It needs ReplicaSpeeds.
	PrefillBudget bool `json:"prefill_budget" validate:"excluded_unless=ReplicaSpeeds true"`
}

// toleratedOvershoot returns the overshoot that this host's limits may use. It leaves half of QuotaOvershoot
// unused: a bound that holds on every host by its own clock may still be exceeded a little where clocks
// differ.
func (b Bounds) toleratedOvershoot() quota.Tolerance {
	return quota.Tolerance{Factor: b.QuotaOvershoot / 2, Tokens: b.QuotaTolerance, Window: time.Duration(b.QuotaWindowSeconds * float64(time.Second))}
}

// strength returns the processor capacity of this host in thousandths of a core.
func (s Settings) strength() int { return int(math.Round(s.Cores * s.CoreSpeed * 1000)) }

// LogSettings is the level of the log.
type LogSettings struct {
	Level string `json:"level" default:"\"info\"" validate:"oneof=debug info warn error"`
}
