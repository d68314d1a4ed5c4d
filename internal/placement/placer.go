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
	// demandTTL is how long the sums of a host count after it was last heard.
	demandTTL = 3 * time.Second
	// resendAfter is how long an order may go without a trace in the reports before another one is listed.
	resendAfter = 3 * time.Second
	// maxWaits bounds the growth of the wait between orders of one entry.
	maxWaits = 5
	// drainGrace lets every host see that a replica is draining before an idle report counts.
	drainGrace = 200 * time.Millisecond
	// settleDelay lets the usual decider settle an order from the reports before the owner writes its result.
	settleDelay = 500 * time.Millisecond
	// readBackAfter is how long a write with unknown outcome waits for the watch before it is read back.
	readBackAfter = 500 * time.Millisecond
	// storeRetry is the pause after the key-value service did not respond.
	storeRetry = 250 * time.Millisecond
	// orderFlight is how long an order of a replaced process may stay unprocessed at an engine; it
	// is longer than the 3 s after which a living sender gives up on the answer.
	orderFlight = 5 * time.Second
	// refusedBackoff keeps a model off an upstream that refused its load.
	refusedBackoff = 2 * time.Second
	// choiceRetry bounds how often a model without a possible upstream searches again.
	choiceRetry = time.Second
	// roomInterval bounds how often memory is freed ahead of loads, which searches all upstreams.
	roomInterval = 500 * time.Millisecond
	// maxScans bounds the searches over all upstreams per tick. One takes about 0.3 ms with 2,000
	// upstreams, and the host's whole control plane may use 2.4 % of a core.
	maxScans = 4
	// maxOrders bounds the unsettled orders of one entry; more would not help a silent engine.
	maxOrders = 8
	// maxTxnModels keeps a transaction below the default limit of 128 operations of an etcd server.
	maxTxnModels = 50
	// bootSilence is how long the current boot must be silent before a replaced one counts again.
	bootSilence = 3 * time.Second
	// keptBoots bounds the remembered earlier boots of one engine.
	keptBoots = 8
)

// Policy switches to baseline behavior for measurements. The zero value is the product's policy.
type Policy struct {
	// RandomUpstream ignores checkpoints and failure domains when it picks an upstream.
	RandomUpstream bool
	// FIFOLoads starts loads in the order in which models began to wait.
	FIFOLoads bool
	// NeverUnload keeps idle replicas until their memory is wanted.
	NeverUnload bool
	// PerHost wants one replica for each host with demand, as if the hosts did not share loads.
	PerHost bool
}

// Options configures a Placer.
type Options struct {
	Self        entity.HostID
	Incarnation entity.Incarnation
	Rand        *rand.Rand
	Policy      Policy
}

// Placer decides placement for the whole site when it is the usual decider, and otherwise only
// sends the orders that it owns. It is not safe for concurrent use.
type Placer struct {
	opt     Options
	site    *config.Site
	self    config.HostRecord
	inList  bool
	decider entity.HostID
	// decidesSince is when this host became the usual decider.
	decidesSince time.Time
	live         map[entity.HostID]config.HostRecord
	// liveAddr holds the registered incarnations by peer address.
	liveAddr map[string][]entity.Incarnation
	// hostLists counts the different lists of hosts, firstList holds the first one with an incarnation.
	hostLists uint64
	firstList map[entity.Incarnation]uint64
	gone      map[string]bool
	// replacedSince is when the proof that a process is gone was first seen here.
	replacedSince map[entity.Incarnation]time.Time

	models    map[entity.ModelID]*model
	upstreams map[entity.UpstreamID]*upstream
	demand    map[entity.HostID]*hostDemand

	dirtyModels    map[entity.ModelID]struct{}
	dirtyUpstreams map[entity.UpstreamID]struct{}
	pending        map[entity.ModelID]struct{}
	pendingAdapter map[entity.ModelID]struct{}
	timers         timers

	writes     map[uint64]*write
	nextID     uint64
	edits      map[entity.UpstreamID]*edit
	retryStore time.Time
	results    map[string]ownResult
	sent       map[string]bool

	remoteLoading  int
	adapterLoading int
	// starting holds the entries of edits and writes that are not in a confirmed record yet.
	starting      map[string]bool
	storeStarts   int
	adapterStarts int
	usedBytes     int64
	totalBytes    int64
	nextLoad      time.Time
	// planned is the memory on each upstream that is meant for models waiting for a load.
	planned map[*upstream]int64
	// roomAt is the earliest time to free memory ahead of loads again.
	roomAt time.Time
	// capacity rises with every change of a placement or an upstream, freed only when an upstream
	// may have more room than before.
	capacity uint64
	freed    uint64
	scans    int
	// loadRatios relates the measured load times to the hints, by sourceOrder.
	loadRatios [3]float64
	version    uint64
	// leaveVersion rises when an upstream is added, begins or ends leaving, or is removed. The
	// record of a model can name an upstream whose own record does not name the model yet, so
	// these changes do not show in the versions of all models concerned.
	leaveVersion uint64
	// ticks counts the calls of Tick.
	ticks uint64
	now   time.Time
	out   []command.Command
	stats Stats
}

// Stats counts what the Placer did since it was created.
type Stats struct {
	Writes, Conflicts, UnknownWrites, Orders, Loads, Unloads, Takeovers, BadRecords uint64
}

type ownResult struct {
	upstream entity.UpstreamID
	outcome  command.OrderOutcome
	at       time.Time
}

type upstream struct {
	id        entity.UpstreamID
	rec       config.UpstreamRecord
	listed    bool
	place     UpstreamPlacement
	rev       int64
	viewRev   int64
	writing   *write
	report    *wire.UpstreamReport
	stateTime time.Time
	boots     []string
	byModel   map[entryKey]int
	listedIDs map[string]bool
	// seen holds the orders of the present entries that any report has listed.
	seen map[string]bool
	// since holds when this host first saw the newest order or the state of an entry.
	since   map[string]time.Time
	refused map[entity.ModelID]time.Time
	foreign int64
	// unsteady says that an entry is not ready or has listed orders.
	unsteady bool
	digest   uint64
	// stayed is the result of stays at the last change of leaveVersion.
	stayed bool
}

type entryKey struct {
	model   entity.ModelID
	adapter entity.AdapterID
}

type model struct {
	id       entity.ModelID
	cfg      *config.Model
	rec      ModelRecord
	rev      int64
	writing  *write
	editing  *edit
	demand   map[entity.HostID][]demandRow
	sum      sums
	adapters map[entity.AdapterID]*adapter
	// activeAdapters holds the adapters with demand.
	activeAdapters map[entity.AdapterID]struct{}
	version        uint64
	// local holds the upstreams with a cached checkpoint.
	local  map[entity.UpstreamID]*upstream
	fits   bool
	fitsAt uint64
	// replicas is valid while countedAt holds version and leaveVersion and no edit of this tick touches the model.
	replicas  replicaCount
	counted   bool
	countedAt [2]uint64
	editedAt  uint64

	want       int
	lastUp     time.Time
	lastDown   time.Time
	lastHigh   time.Time
	lastBusy   time.Time
	waitSince  time.Time
	nextTry    time.Time
	triedAt    uint64
	evictUntil time.Time
	// room is the upstream on which memory is being freed for the model until evictUntil.
	room *upstream
	// spare is an upstream that had enough memory when it was last searched.
	spare      *upstream
	arrivals   float64
	arrivalsAt time.Time
	// loadTimes holds the measured load times by sourceOrder.
	loadTimes [3]time.Duration
}

type adapter struct {
	sum      sums
	lastUsed time.Time
}

// write is a transaction whose result is outstanding or unknown.
type write struct {
	id       uint64
	attempt  string
	up       *upstream
	upBase   int64
	place    UpstreamPlacement
	models   []*model
	recs     []ModelRecord
	starts   starts
	unknown  bool
	resolved bool
	readAt   time.Time
	readBack uint64
}

// starts counts the loads that a write starts.
type starts struct {
	store    int
	adapters int
	entries  []string
}

// edit collects the changes of one tick to one upstream record and the model records they need.
type edit struct {
	up      *upstream
	place   UpstreamPlacement
	models  map[entity.ModelID]*ModelRecord
	changed bool
	// storeLoads and adapterLoads count the loads that this edit starts.
	storeLoads   int
	adapterLoads int
}

// New returns a Placer without knowledge; it decides nothing before HandleSite and HandleHosts.
func New(opt Options) *Placer {
	return &Placer{
		opt:            opt,
		live:           map[entity.HostID]config.HostRecord{},
		liveAddr:       map[string][]entity.Incarnation{},
		firstList:      map[entity.Incarnation]uint64{},
		gone:           map[string]bool{},
		replacedSince:  map[entity.Incarnation]time.Time{},
		models:         map[entity.ModelID]*model{},
		upstreams:      map[entity.UpstreamID]*upstream{},
		demand:         map[entity.HostID]*hostDemand{},
		dirtyModels:    map[entity.ModelID]struct{}{},
		dirtyUpstreams: map[entity.UpstreamID]struct{}{},
		pending:        map[entity.ModelID]struct{}{},
		pendingAdapter: map[entity.ModelID]struct{}{},
		writes:         map[uint64]*write{},
		edits:          map[entity.UpstreamID]*edit{},
		results:        map[string]ownResult{},
		sent:           map[string]bool{},
		starting:       map[string]bool{},
		planned:        map[*upstream]int64{},
	}
}

func (p *Placer) model(id entity.ModelID) *model {
	m := p.models[id]
	if m == nil {
		m = &model{
			id:             id,
			demand:         map[entity.HostID][]demandRow{},
			adapters:       map[entity.AdapterID]*adapter{},
			activeAdapters: map[entity.AdapterID]struct{}{},
			local:          map[entity.UpstreamID]*upstream{},
		}
		p.models[id] = m
	}
	return m
}

func (p *Placer) upstream(id entity.UpstreamID) *upstream {
	u := p.upstreams[id]
	if u == nil {
		u = &upstream{
			id:        id,
			byModel:   map[entryKey]int{},
			listedIDs: map[string]bool{},
			seen:      map[string]bool{},
			since:     map[string]time.Time{},
			refused:   map[entity.ModelID]time.Time{},
		}
		p.upstreams[id] = u
		p.leaveVersion++
	}
	return u
}

func (p *Placer) touchModel(id entity.ModelID)      { p.dirtyModels[id] = struct{}{} }
func (p *Placer) touchUpstream(u entity.UpstreamID) { p.dirtyUpstreams[u] = struct{}{} }

// touchAll marks everything for the next tick, after changes that concern the whole site.
func (p *Placer) touchAll() {
	for id := range p.models {
		p.touchModel(id)
	}
	for id := range p.upstreams {
		p.touchUpstream(id)
	}
}

func (p *Placer) bump(m *model) {
	p.version++
	m.version = p.version
}

// Decider is the host that demand sums should be sent to.
func (p *Placer) Decider() entity.HostID { return p.decider }

// IsDecider says whether this host decides at present.
func (p *Placer) IsDecider() bool { return p.inList && p.decider == p.opt.Self && p.site != nil }

func (u *upstream) leaving() bool {
	return u.rec.State == config.UpstreamLeaving || (u.report != nil && u.report.Leaving)
}

// stays says whether the upstream is listed and not leaving.
func (u *upstream) stays() bool { return u.listed && !u.leaving() }

func (u *upstream) totalBytes() int64 {
	if u.report != nil && u.report.MemoryBytes > 0 {
		return min(u.rec.MemoryBytes, u.report.MemoryBytes)
	}
	return u.rec.MemoryBytes
}

// freeBytes is what a new entry may reserve, given the placement being edited.
func (u *upstream) freeBytes(place *UpstreamPlacement) int64 {
	return u.totalBytes() - place.UsedBytes() - u.foreign
}

// take returns the collected commands.
func (p *Placer) take() []command.Command {
	out := p.out
	p.out = nil
	return out
}

// Tick decides and returns what to do. Its work is proportional to what changed since the last
// one and to the models that wait for a load.
func (p *Placer) Tick(now time.Time) []command.Command {
	p.now = now
	p.ticks++
	p.dropSilent()
	p.popTimers()
	for _, id := range drain(p.dirtyUpstreams) {
		p.maintain(p.upstreams[id])
	}
	if p.IsDecider() {
		p.decide()
	} else {
		clear(p.dirtyModels)
		clear(p.pending)
		clear(p.pendingAdapter)
	}
	p.flush()
	return p.take()
}

// drain empties a dirty set and returns it in a fixed order, so that runs can be repeated.
func drain[K cmp.Ordered](set map[K]struct{}) []K {
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
