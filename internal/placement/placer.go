package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/wire"
)

const (
	// demandTTL is how long the demand of a host counts after the host last sent a list of demand.
	demandTTL = 3 * time.Second
	// resendAfter is how long an order may be missing from the engine's reports before another order is recorded.
	resendAfter = 3 * time.Second
	// maxWaitFactor bounds the growth of the wait between the orders of one entry.
	maxWaitFactor = 5
	// drainGrace is the time for every host to learn that a replica is draining. No report is taken as
	// proof that the replica is idle before this time has passed.
	drainGrace = 200 * time.Millisecond
	// settleDelay is the wait before a host that is not the decider writes the result of its order into the
	// record. In this time the decider usually settles the order from the engine's reports.
	settleDelay = 500 * time.Millisecond
	// readBackAfter is how long a write with an unknown outcome may take to appear in the watch before its
	// records are read.
	readBackAfter = 500 * time.Millisecond
	// kvRetryDelay is the pause after a failed call of the key-value service.
	kvRetryDelay = 250 * time.Millisecond
	// maxOrderFlight is how long an order of a process that has ended may stay unprocessed at an engine. It is
	// longer than the 3 s after which a running sender stops waiting for the answer.
	maxOrderFlight = 5 * time.Second
	// refusedBackoff is how long a model is not loaded again on an upstream that refused its load.
	refusedBackoff = 2 * time.Second
	// searchRetry is the pause between searches for a model that fits on no upstream.
	searchRetry = time.Second
	// freeAheadInterval is the pause between runs of freeMemoryAhead, which search all upstreams.
	freeAheadInterval = 500 * time.Millisecond
	// maxSearches bounds the searches over all upstreams per tick. One search takes about 0.3 ms with 2,000
	// upstreams, and the whole control plane of a host may use 2.4 % of a core.
	maxSearches = 4
	// maxOrders bounds the unsettled orders of one entry. An engine that shows none of them in its reports
	// would not react to more.
	maxOrders = 8
	// maxTxnModels keeps a transaction below the default limit of 128 operations of an etcd server.
	maxTxnModels = 50
	// bootSilence is how long the current boot of an engine must have sent no report before a report of a
	// former boot is accepted again.
	bootSilence = 3 * time.Second
	// maxFormerBoots bounds the remembered former boots of one engine.
	maxFormerBoots = 8
)

// Policy selects simpler decision rules for comparison in measurements. The zero value is the policy of
// production.
type Policy struct {
	// RandomUpstream ignores checkpoints and failure domains when it picks an upstream.
	RandomUpstream bool
	// FIFOLoads starts loads in the order in which models began to wait.
	FIFOLoads bool
	// NeverUnload keeps idle replicas until another model needs their memory.
	NeverUnload bool
	// ReplicaPerHost wants one replica for each host with demand, as if the hosts did not share loads.
	ReplicaPerHost bool
}

// Options configures a Placer.
type Options struct {
	Self        entity.HostID
	Incarnation entity.Incarnation
	Rand        *rand.Rand
	Policy      Policy
}

// Placer decides placement for the whole site when its host is the decider. On other hosts it only sends the orders
// that its own process has recorded and writes their results into the records. It is not safe for concurrent use.
type Placer struct {
	opt  Options
	site *config.Site
	self config.HostRecord
	// registered is true while this process is in the list of registered hosts.
	registered bool
	decider    entity.HostID
	// deciderSince is when this host became the decider.
	deciderSince time.Time
	// live holds the registered hosts.
	live map[entity.HostID]config.HostRecord
	// incarnationsByAddr holds the registered incarnations by peer address.
	incarnationsByAddr map[string][]entity.Incarnation
	// hostListCount counts the lists of hosts received. firstListed holds the number of the first list that
	// contained an incarnation.
	hostListCount uint64
	firstListed   map[entity.Incarnation]uint64
	// confirmedEnded holds, by incarnationKey, the processes whose end an operator has confirmed.
	confirmedEnded map[string]bool
	// endProvenAt is when this host first had proof that a process has ended.
	endProvenAt map[entity.Incarnation]time.Time

	models    map[entity.ModelID]*model
	upstreams map[entity.UpstreamID]*upstream
	demand    map[entity.HostID]*hostDemand

	// dirtyModels and dirtyUpstreams hold what the next tick must process.
	dirtyModels    map[entity.ModelID]struct{}
	dirtyUpstreams map[entity.UpstreamID]struct{}
	// pendingModels holds the models that have fewer active replicas than wanted, pendingAdapters the models of
	// which an adapter may have to be loaded.
	pendingModels   map[entity.ModelID]struct{}
	pendingAdapters map[entity.ModelID]struct{}
	timers          timers

	writes map[uint64]*write
	nextID uint64
	edits  map[entity.UpstreamID]*edit
	// kvRetryAt is the earliest time of the next write after a failed call of the key-value service.
	kvRetryAt time.Time
	// orderResults holds the results of this process's orders by order ID. sentOrders holds the orders that it
	// has sent or decided not to send.
	orderResults map[string]orderResult
	sentOrders   map[string]bool

	// remoteLoading counts the recorded loads of models from the weight store, adapterLoading the recorded loads
	// of adapters.
	remoteLoading  int
	adapterLoading int
	// unconfirmedLoads holds the entry IDs of loads in edits and writes that are not in a confirmed record yet.
	unconfirmedLoads        map[string]bool
	unconfirmedStoreLoads   int
	unconfirmedAdapterLoads int
	usedBytes               int64
	totalBytes              int64
	nextStoreLoad           time.Time
	// plannedBytes is the memory on each upstream that is being freed, or is kept free, for models that wait
	// for a load.
	plannedBytes map[*upstream]int64
	// freeAheadAt is the earliest time of the next run of freeMemoryAhead.
	freeAheadAt time.Time
	// capacityVersion rises with every change of a placement or an upstream, freedVersion only when an upstream
	// may have more free memory than before.
	capacityVersion uint64
	freedVersion    uint64
	// searches counts the searches over all upstreams in this tick.
	searches int
	// loadRatios holds the smoothed ratios of load time to hint, by sourceIndex, and ratiosAt when each was last
	// observed.
	loadRatios [3]float64
	ratiosAt   [3]time.Time
	version    uint64
	// availabilityVersion rises when an upstream is added, starts or stops leaving, or is removed. The versions
	// of the models do not cover these changes, because the record of a model can name an upstream whose own
	// record does not name the model yet.
	availabilityVersion uint64
	// ticks counts the calls of Tick.
	ticks    uint64
	now      time.Time
	commands []command.Command
	stats    Stats
}

// Stats counts what the Placer did since it was created.
type Stats struct {
	Writes, Conflicts, UnknownWrites, Orders, Loads, Unloads, Takeovers, BadRecords uint64
}

// orderResult is the outcome of an order that this process sent or decided not to send.
type orderResult struct {
	upstream entity.UpstreamID
	outcome  command.OrderOutcome
	at       time.Time
}

// upstream is what is known about one upstream.
type upstream struct {
	id             entity.UpstreamID
	rec            config.UpstreamRecord // from the platform's list
	inPlatformList bool
	placement      UpstreamPlacement
	// rev is the revision of placement; viewRev is the revision of the newest record received through the view.
	rev     int64
	viewRev int64
	writing *write
	report  *wire.UpstreamReport
	// stateTime is when the engine was in the state of the report.
	stateTime   time.Time
	formerBoots []string
	entryIndex  map[entryKey]int
	// reportedOrders holds the order IDs in the newest report.
	reportedOrders map[string]bool
	// everReported holds the recorded orders whose IDs were in any report.
	everReported map[string]bool
	// firstObserved holds when this host first observed a recorded order (by order ID) or the state of an entry
	// (by entry ID followed by the state).
	firstObserved map[string]time.Time
	// refused holds, for models whose load the upstream refused, when it may be tried again.
	refused map[entity.ModelID]time.Time
	// foreignBytes is the memory of reported entries that are in no record.
	foreignBytes int64
	// inTransition is true when an entry is not ready or has recorded orders.
	inTransition bool
	// digest is the reportDigest of the newest report.
	digest uint64
	// wasAvailable is the result of available at the last change of availabilityVersion.
	wasAvailable bool
}

type entryKey struct {
	model   entity.ModelID
	adapter entity.AdapterID
}

// model is what is known about one model.
type model struct {
	id       entity.ModelID
	cfg      *config.Model
	rec      ModelRecord
	rev      int64
	writing  *write
	editing  *edit
	demand   map[entity.HostID][]demandRow
	sum      demandSums
	adapters map[entity.AdapterID]*adapter
	// activeAdapters holds the adapters with demand.
	activeAdapters map[entity.AdapterID]struct{}
	version        uint64
	// cachedUpstreams holds the upstreams with a cached checkpoint of the model.
	cachedUpstreams map[entity.UpstreamID]*upstream
	// fits is the result of fitsAnywhere; it is valid while fitsVersion is capacityVersion+1.
	fits        bool
	fitsVersion uint64
	// replicas is valid while countedAt holds version and availabilityVersion and no edit of this tick changes
	// the model.
	replicas   replicaCount
	counted    bool
	countedAt  [2]uint64
	editedTick uint64

	// want is the wanted number of replicas. lastFullyNeeded is when demand last required at least that many.
	want            int
	lastRaised      time.Time
	lastLowered     time.Time
	lastFullyNeeded time.Time
	lastDemandAt    time.Time
	waitingSince    time.Time
	// searchedVersion is freedVersion at the last failed search for an upstream. Without a change of
	// freedVersion, the next search is at nextSearch.
	nextSearch      time.Time
	searchedVersion uint64
	// evictUntil is how long memory is being freed for the model on evictionUpstream.
	evictUntil       time.Time
	evictionUpstream *upstream
	// unplanned is the last result of chooseUnplanned.
	unplanned  *upstream
	arrivals   float64
	arrivalsAt time.Time
	// loadTimes holds the smoothed load times by sourceIndex, and loadedAt when each was last observed.
	loadTimes [3]time.Duration
	loadedAt  [3]time.Time
}

// adapter is the demand for one adapter of a model.
type adapter struct {
	sum      demandSums
	lastUsed time.Time
}

// write is a transaction whose result has not arrived or is unknown.
type write struct {
	id         uint64
	attempt    string
	up         *upstream
	baseRev    int64
	placement  UpstreamPlacement
	models     []*model
	modelRecs  []ModelRecord
	loadStarts loadStarts
	unknown    bool
	resolved   bool
	readBackAt time.Time
	// readBack is the ID of the read in progress, or 0.
	readBack uint64
}

// loadStarts counts the loads that a write starts: from the weight store and of adapters.
type loadStarts struct {
	store    int
	adapters int
	entries  []string
}

// edit collects the changes of one tick to one upstream record and the model records they need.
type edit struct {
	up        *upstream
	placement UpstreamPlacement
	models    map[entity.ModelID]*ModelRecord
	changed   bool
	// storeLoads and adapterLoads count the loads that this edit starts.
	storeLoads   int
	adapterLoads int
}

// New returns an empty Placer. It decides nothing before HandleSite and HandleHosts are called.
func New(opt Options) *Placer {
	return &Placer{
		opt:                opt,
		live:               map[entity.HostID]config.HostRecord{},
		incarnationsByAddr: map[string][]entity.Incarnation{},
		firstListed:        map[entity.Incarnation]uint64{},
		confirmedEnded:     map[string]bool{},
		endProvenAt:        map[entity.Incarnation]time.Time{},
		models:             map[entity.ModelID]*model{},
		upstreams:          map[entity.UpstreamID]*upstream{},
		demand:             map[entity.HostID]*hostDemand{},
		dirtyModels:        map[entity.ModelID]struct{}{},
		dirtyUpstreams:     map[entity.UpstreamID]struct{}{},
		pendingModels:      map[entity.ModelID]struct{}{},
		pendingAdapters:    map[entity.ModelID]struct{}{},
		writes:             map[uint64]*write{},
		edits:              map[entity.UpstreamID]*edit{},
		orderResults:       map[string]orderResult{},
		sentOrders:         map[string]bool{},
		unconfirmedLoads:   map[string]bool{},
		plannedBytes:       map[*upstream]int64{},
	}
}

// model returns the entry of a model in Placer.models, and creates it if needed.
func (p *Placer) model(id entity.ModelID) *model {
	m := p.models[id]
	if m == nil {
		m = &model{
			id:              id,
			demand:          map[entity.HostID][]demandRow{},
			adapters:        map[entity.AdapterID]*adapter{},
			activeAdapters:  map[entity.AdapterID]struct{}{},
			cachedUpstreams: map[entity.UpstreamID]*upstream{},
		}
		p.models[id] = m
	}
	return m
}

// upstream returns the entry of an upstream in Placer.upstreams, and creates it if needed.
func (p *Placer) upstream(id entity.UpstreamID) *upstream {
	u := p.upstreams[id]
	if u == nil {
		u = &upstream{
			id:             id,
			entryIndex:     map[entryKey]int{},
			reportedOrders: map[string]bool{},
			everReported:   map[string]bool{},
			firstObserved:  map[string]time.Time{},
			refused:        map[entity.ModelID]time.Time{},
		}
		p.upstreams[id] = u
		p.availabilityVersion++
	}
	return u
}

func (p *Placer) markModelDirty(id entity.ModelID)      { p.dirtyModels[id] = struct{}{} }
func (p *Placer) markUpstreamDirty(u entity.UpstreamID) { p.dirtyUpstreams[u] = struct{}{} }

// markAllDirty marks all models and upstreams for the next tick, after changes that affect the whole site.
func (p *Placer) markAllDirty() {
	for id := range p.models {
		p.markModelDirty(id)
	}
	for id := range p.upstreams {
		p.markUpstreamDirty(id)
	}
}

// bumpVersion records a change of the model's replicas.
func (p *Placer) bumpVersion(m *model) {
	p.version++
	m.version = p.version
}

// Decider returns the host that decides placement; hosts send their demand to it.
func (p *Placer) Decider() entity.HostID { return p.decider }

// IsDecider reports whether this host currently decides placement.
func (p *Placer) IsDecider() bool { return p.registered && p.decider == p.opt.Self && p.site != nil }

// leaving reports whether the platform's record or the engine's report says that the upstream is leaving, which means
// that it will be removed soon.
func (u *upstream) leaving() bool {
	return u.rec.State == config.UpstreamLeaving || (u.report != nil && u.report.Leaving)
}

// available reports whether the upstream is in the platform's list and not leaving.
func (u *upstream) available() bool { return u.inPlatformList && !u.leaving() }

// totalBytes returns the memory of the upstream: the lower of the recorded and the reported size.
func (u *upstream) totalBytes() int64 {
	if u.report != nil && u.report.MemoryBytes > 0 {
		return min(u.rec.MemoryBytes, u.report.MemoryBytes)
	}
	return u.rec.MemoryBytes
}

// freeBytes returns the memory of the upstream that a new entry may reserve beside the entries of the placement.
func (u *upstream) freeBytes(placement *UpstreamPlacement) int64 {
	return u.totalBytes() - placement.UsedBytes() - u.foreignBytes
}

// takeCommands returns the collected commands and clears them.
func (p *Placer) takeCommands() []command.Command {
	commands := p.commands
	p.commands = nil
	return commands
}

// Tick makes the decisions that are due and returns the commands to execute. Its work is proportional to the
// changes since the last tick and to the number of models that wait for a load.
func (p *Placer) Tick(now time.Time) []command.Command {
	p.now = now
	p.ticks++
	p.expireDemand()
	p.popTimers()
	for _, id := range takeKeys(p.dirtyUpstreams) {
		p.maintainUpstream(p.upstreams[id])
	}
	if p.IsDecider() {
		p.decide()
	} else {
		clear(p.dirtyModels)
		clear(p.pendingModels)
		clear(p.pendingAdapters)
	}
	p.flush()
	return p.takeCommands()
}

// takeKeys empties a set and returns its keys in sorted order, so that runs are repeatable.
func takeKeys[K cmp.Ordered](set map[K]struct{}) []K {
	if len(set) == 0 {
		return nil
	}
	keys := sortedKeys(set)
	clear(set)
	return keys
}

func sortedKeys[K cmp.Ordered, V any](set map[K]V) []K {
	keys := make([]K, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
