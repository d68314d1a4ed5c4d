package placement

import (
	"cmp"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailpass/foxtailpass/internal/command"
	"github.com/foxtailpass/foxtailpass/internal/config"
	"github.com/foxtailpass/foxtailpass/internal/entity"
	"github.com/foxtailpass/foxtailpass/internal/platform"
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
	// Domain is the failure domain of this host.
	Domain string
	Rand   *rand.Rand
	Policy Policy
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
	heard     map[entity.HostID]time.Time

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
		heard:          map[entity.HostID]time.Time{},
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

// HandleSite puts a configuration in force.
func (p *Placer) HandleSite(site *config.Site, now time.Time) {
	p.site = site
	for id := range p.models {
		p.models[id].cfg = nil
	}
	for id := range site.Models {
		cfg := site.Models[id]
		p.model(id).cfg = &cfg
	}
	for _, m := range p.models {
		p.bump(m)
	}
	p.touchAll()
}

// HandleHosts takes the registered hosts and those that this host can reach. Hosts that are
// unreachable, or that cannot reach the key-value service, should be reported as not reachable.
// The list must come from a view at least as new as the records given to HandleRecord before the next Tick.
func (p *Placer) HandleHosts(live []config.HostRecord, reachable func(entity.HostID) bool, now time.Time) {
	changed := len(live) != len(p.live)
	next := make(map[entity.HostID]config.HostRecord, len(live))
	clear(p.liveAddr)
	p.inList = false
	p.hostLists++
	for _, h := range live {
		if old, ok := p.live[h.ID]; !ok || old.Incarnation != h.Incarnation || old.PeerAddr != h.PeerAddr {
			changed = true
		}
		next[h.ID] = h
		if h.PeerAddr != "" {
			p.liveAddr[h.PeerAddr] = append(p.liveAddr[h.PeerAddr], h.Incarnation)
		}
		if _, ok := p.firstList[h.Incarnation]; !ok {
			p.firstList[h.Incarnation] = p.hostLists
		}
		if h.ID == p.opt.Self && h.Incarnation == p.opt.Incarnation {
			p.self = h
			p.inList = true
		}
	}
	p.live = next
	former := p.decider
	p.decider = chooseDecider(live, reachable, p.opt.Self)
	if former != p.decider && p.decider == p.opt.Self {
		p.decidesSince = now
	}
	if changed || former != p.decider {
		p.touchAll()
	}
}

// chooseDecider picks one host for the whole site by rendezvous hashing, so that the order in
// which the weight store is used is global.
func chooseDecider(live []config.HostRecord, reachable func(entity.HostID) bool, self entity.HostID) entity.HostID {
	var best entity.HostID
	var bestScore uint64
	for _, h := range live {
		if h.State == "stopping" {
			continue
		}
		if reachable != nil && !reachable(h.ID) {
			continue
		}
		score := xxhash.Sum64String("placement/" + string(h.ID))
		if best == "" || score > bestScore || (score == bestScore && h.ID < best) {
			best, bestScore = h.ID, score
		}
	}
	return best
}

// Decider is the host that demand sums should be sent to.
func (p *Placer) Decider() entity.HostID { return p.decider }

// IsDecider says whether this host decides at present.
func (p *Placer) IsDecider() bool { return p.inList && p.decider == p.opt.Self && p.site != nil }

func goneKey(h entity.HostID, i entity.Incarnation) string { return string(h) + "/" + string(i) }

// HandleGone records that an operator confirmed that the process no longer exists.
func (p *Placer) HandleGone(host entity.HostID, inc entity.Incarnation, now time.Time) {
	p.gone[goneKey(host, inc)] = true
	p.touchAll()
}

// HandleUpstreams takes changes of the platform's list.
func (p *Placer) HandleUpstreams(changed []config.UpstreamRecord, removed []entity.UpstreamID, now time.Time) {
	for _, r := range changed {
		u := p.upstream(r.ID)
		if u.listed {
			p.totalBytes -= u.rec.MemoryBytes
		}
		p.indexCheckpoints(u, r.Checkpoints)
		u.rec = r
		u.listed = true
		p.totalBytes += r.MemoryBytes
		p.upstreamChanged(u)
	}
	for _, id := range removed {
		u := p.upstreams[id]
		if u == nil || !u.listed {
			continue
		}
		p.totalBytes -= u.rec.MemoryBytes
		u.listed = false
		u.report = nil
		u.foreign = 0
		clear(u.listedIDs)
		p.upstreamChanged(u)
	}
}

// indexCheckpoints keeps, per model, the upstreams that need not load it from the weight store.
func (p *Placer) indexCheckpoints(u *upstream, next map[entity.ModelID]string) {
	for id := range u.rec.Checkpoints {
		delete(p.model(id).local, u.id)
	}
	for id := range next {
		p.model(id).local[u.id] = u
	}
}

func (p *Placer) upstreamChanged(u *upstream) {
	if stays := u.stays(); stays != u.stayed {
		u.stayed = stays
		p.leaveVersion++
	}
	p.capacity++
	p.freed++
	p.touchUpstream(u.id)
	p.touchModelsOf(u)
}

func (p *Placer) touchModelsOf(u *upstream) {
	for i := range u.place.Entries {
		m := p.model(u.place.Entries[i].Model)
		p.bump(m)
		p.touchModel(m.id)
	}
}

// HandleRecord takes a record from the view. A nil pair means that the key is absent; records
// are never deleted, so an absent key never replaces a known one.
func (p *Placer) HandleRecord(key string, pair *platform.Pair, now time.Time) {
	if pair == nil {
		return
	}
	if id, ok := strings.CutPrefix(key, config.PlaceModels); ok {
		p.takeModel(entity.ModelID(id), pair, now)
		return
	}
	if id, ok := strings.CutPrefix(key, config.PlaceUpstreams); ok {
		u := p.upstream(entity.UpstreamID(id))
		u.viewRev = max(u.viewRev, pair.ModRevision)
		p.takeUpstream(u, pair, now)
	}
}

func (p *Placer) takeModel(id entity.ModelID, pair *platform.Pair, now time.Time) {
	m := p.model(id)
	if pair.ModRevision <= m.rev {
		return
	}
	var rec ModelRecord
	if json.Unmarshal(pair.Value, &rec) != nil {
		p.stats.BadRecords++
		return
	}
	p.setModel(m, rec, pair.ModRevision)
}

func (p *Placer) takeUpstream(u *upstream, pair *platform.Pair, now time.Time) {
	if pair.ModRevision <= u.rev {
		// The view has caught up with a record that came with a transaction, which may
		// complete the proof that a sender is gone.
		p.touchUpstream(u.id)
		return
	}
	var place UpstreamPlacement
	if json.Unmarshal(pair.Value, &place) != nil {
		p.stats.BadRecords++
		return
	}
	p.setPlacement(u, place, pair.ModRevision, now)
	if w := u.writing; w != nil && w.unknown {
		p.release(w)
	}
}

func (p *Placer) setModel(m *model, rec ModelRecord, rev int64) {
	if rev <= m.rev {
		return
	}
	m.rec = rec
	m.rev = rev
	p.bump(m)
	p.touchModel(m.id)
}

// setPlacement installs a newer record and updates the site-wide sums by the difference.
func (p *Placer) setPlacement(u *upstream, place UpstreamPlacement, rev int64, now time.Time) {
	if rev <= u.rev {
		return
	}
	known := make(map[string]bool, len(u.place.Entries))
	for i := range u.place.Entries {
		e := &u.place.Entries[i]
		if countsAtStore(e) {
			known[e.ID] = true
		}
		if next := place.find(e.Model, e.Adapter); e.Adapter == "" && e.State == StateLoading && next != nil && next.ID == e.ID && next.State == StateReady {
			p.noteLoadTime(e, now.Sub(u.since[e.ID+StateLoading]))
		}
		p.account(e, -1)
		p.touchModel(e.Model)
		p.bump(p.model(e.Model))
	}
	old := u.since
	u.since = make(map[string]time.Time, 2*len(place.Entries))
	clear(u.byModel)
	seen := make(map[string]bool)
	unsteady := false
	for i := range place.Entries {
		e := &place.Entries[i]
		p.account(e, 1)
		if countsAtStore(e) && !known[e.ID] && !p.starting[e.ID] {
			p.noteStoreLoad(now)
		}
		u.byModel[entryKey{e.Model, e.Adapter}] = i
		unsteady = unsteady || e.State != StateReady || len(e.Orders) > 0
		keepSince(old, u.since, e.ID+e.State, now)
		for _, o := range e.Orders {
			keepSince(old, u.since, o.ID, now)
			if u.seen[o.ID] || u.listedIDs[o.ID] {
				seen[o.ID] = true
			}
		}
		p.touchModel(e.Model)
		p.bump(p.model(e.Model))
	}
	if place.UsedBytes() < u.place.UsedBytes() {
		p.freed++
	}
	p.forgetOrders(&u.place, &place)
	u.unsteady = unsteady
	u.seen = seen
	u.place = place
	u.rev = rev
	p.countForeign(u)
	p.capacity++
	p.touchUpstream(u.id)
}

// forgetOrders drops the results of own orders that are no longer listed. Records only get
// newer, so such an order is never listed again.
func (p *Placer) forgetOrders(old, next *UpstreamPlacement) {
	for i := range old.Entries {
		e := &old.Entries[i]
		now := next.find(e.Model, e.Adapter)
		for j := range e.Orders {
			o := &e.Orders[j]
			if !p.owns(o) || (now != nil && slices.ContainsFunc(now.Orders, func(x SentOrder) bool { return x.ID == o.ID })) {
				continue
			}
			delete(p.results, o.ID)
			delete(p.sent, o.ID)
		}
	}
}

func keepSince(old, next map[string]time.Time, key string, now time.Time) {
	if t, ok := old[key]; ok {
		next[key] = t
		return
	}
	next[key] = now
}

// countsAtStore says whether the entry occupies the weight store.
func countsAtStore(e *Entry) bool {
	return e.State == StateLoading && e.Adapter == "" && e.Source == SourceRemote
}

func (p *Placer) account(e *Entry, sign int) {
	p.usedBytes += int64(sign) * e.Bytes
	if countsAtStore(e) {
		p.remoteLoading += sign
	}
	if e.State == StateLoading && e.Adapter != "" {
		p.adapterLoading += sign
	}
}

// noteStoreLoad spaces the starts of loads evenly, so that any second has at most the allowed number.
func (p *Placer) noteStoreLoad(now time.Time) {
	if p.site == nil || p.site.WeightStore.LoadsPerSecond <= 0 {
		return
	}
	gap := time.Duration(float64(time.Second) / p.site.WeightStore.LoadsPerSecond)
	if p.nextLoad.Before(now) {
		p.nextLoad = now
	}
	p.nextLoad = p.nextLoad.Add(gap)
}

// HandleReport takes an upstream's report, its own or relayed. Only the newest report counts.
func (p *Placer) HandleReport(r wire.UpstreamReport, receivedAt time.Time) {
	u := p.upstream(r.Upstream)
	stateTime := receivedAt.Add(-r.Age)
	if !u.isNewer(&r, stateTime) {
		return
	}
	if u.report != nil && u.report.Boot == r.Boot {
		// A delayed report of the same sequence number must not revoke the leaving state.
		r.Leaving = r.Leaving || u.report.Leaving
	}
	if u.report != nil && u.report.Boot != r.Boot {
		u.boots = slices.DeleteFunc(u.boots, func(b string) bool { return b == r.Boot })
		u.boots = append(u.boots, u.report.Boot)
		u.boots = u.boots[max(0, len(u.boots)-keptBoots):]
	}
	sameState := u.report != nil && u.report.Boot == r.Boot && u.report.Seq == r.Seq && u.report.Leaving == r.Leaving
	u.report = &r
	u.stateTime = stateTime
	if sameState {
		if u.unsteady {
			p.touchUpstream(u.id)
		}
		return
	}
	clear(u.listedIDs)
	for _, id := range r.AppliedOrders {
		u.listedIDs[id] = true
	}
	for i := range r.Entries {
		u.listedIDs[r.Entries[i].OrderID] = true
	}
	for i := range u.place.Entries {
		for _, o := range u.place.Entries[i].Orders {
			if u.listedIDs[o.ID] {
				u.seen[o.ID] = true
			}
		}
	}
	p.countForeign(u)
	if sum := reportDigest(&r); sum != u.digest {
		u.digest = sum
		p.upstreamChanged(u)
		return
	}
	if u.unsteady {
		p.touchUpstream(u.id)
	}
}

// reportDigest covers what placement depends on, so that a report that only differs in load causes no work.
func reportDigest(r *wire.UpstreamReport) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Boot)
	if r.Leaving {
		_, _ = d.WriteString("/leaving")
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		for _, s := range []string{"/", string(e.Model), ":", string(e.Adapter), ":", e.State} {
			_, _ = d.WriteString(s)
		}
	}
	return d.Sum64()
}

// isNewer orders reports by sequence within one boot. An unknown boot counts as newer when its
// state is. A replaced boot returns only after the current one was silent: a host that started
// after an engine restart can take a delayed report of the old boot for a newer one. Safety does
// not depend on this order, because each proof lies within one report.
func (u *upstream) isNewer(r *wire.UpstreamReport, stateTime time.Time) bool {
	if u.report == nil {
		return true
	}
	if u.report.Boot == r.Boot {
		return r.Seq > u.report.Seq || (r.Seq == u.report.Seq && stateTime.After(u.stateTime))
	}
	if slices.Contains(u.boots, r.Boot) {
		return stateTime.After(u.stateTime.Add(bootSilence))
	}
	return stateTime.After(u.stateTime)
}

// countForeign sums the reported entries that no record explains. Their memory is not used.
func (p *Placer) countForeign(u *upstream) {
	u.foreign = 0
	if u.report == nil {
		return
	}
	for i := range u.report.Entries {
		e := &u.report.Entries[i]
		if _, ok := u.byModel[entryKey{e.Model, e.Adapter}]; !ok {
			u.foreign += e.Bytes
		}
	}
}

func (u *upstream) reported(m entity.ModelID, a entity.AdapterID) *wire.ReportedEntry {
	if u.report == nil {
		return nil
	}
	for i := range u.report.Entries {
		e := &u.report.Entries[i]
		if e.Model == m && e.Adapter == a {
			return e
		}
	}
	return nil
}

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

// HandleOrderResult takes the result of sending an order once.
func (p *Placer) HandleOrderResult(orderID string, outcome command.OrderOutcome, now time.Time) []command.Command {
	r, ok := p.results[orderID]
	if !ok {
		return nil
	}
	r.outcome = outcome
	r.at = now
	p.results[orderID] = r
	p.touchUpstream(r.upstream)
	p.wakeUpstream(now.Add(settleDelay), r.upstream)
	return nil
}

// HandleWriteResult takes the result of a WriteRecords command.
func (p *Placer) HandleWriteResult(id uint64, result platform.TxnResult, err error, now time.Time) []command.Command {
	p.now = now
	w := p.writes[id]
	if w == nil {
		return nil
	}
	delete(p.writes, id)
	if id == w.readBack {
		p.handleReadBack(w, result, err, now)
		return p.take()
	}
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		p.retryStore = now.Add(storeRetry)
		p.release(w)
	case err != nil:
		p.stats.UnknownWrites++
		p.retryStore = now.Add(storeRetry)
		w.unknown = true
		w.readAt = now.Add(readBackAfter)
		p.wakeUpstream(w.readAt, w.up.id)
		if w.up.rev > w.upBase {
			// The watch was faster than the failed answer.
			p.release(w)
		}
	case result.Succeeded:
		p.adopt(w, result.Revision, now)
	default:
		p.stats.Conflicts++
		p.takeGets(result.Gets, now)
		p.release(w)
	}
	p.sendOwn(w.up)
	return p.take()
}

func (p *Placer) adopt(w *write, rev int64, now time.Time) {
	p.setPlacement(w.up, w.place, rev, now)
	for i, m := range w.models {
		p.setModel(m, w.recs[i], rev)
	}
	p.release(w)
}

// handleReadBack ends an unknown write. When the record is unchanged the write can still land
// later, but then a newer write's compare fails, and orders follow only from confirmed records.
func (p *Placer) handleReadBack(w *write, result platform.TxnResult, err error, now time.Time) {
	if w.resolved {
		return
	}
	w.readBack = 0
	if err != nil {
		w.readAt = now.Add(readBackAfter)
		p.wakeUpstream(w.readAt, w.up.id)
		return
	}
	p.takeGets(result.Gets, now)
	p.release(w)
	p.sendOwn(w.up)
}

func (p *Placer) takeGets(gets []*platform.Pair, now time.Time) {
	for _, g := range gets {
		if g == nil {
			continue
		}
		if id, ok := strings.CutPrefix(g.Key, config.PlaceModels); ok {
			p.takeModel(entity.ModelID(id), g, now)
		}
		if id, ok := strings.CutPrefix(g.Key, config.PlaceUpstreams); ok {
			p.takeUpstream(p.upstream(entity.UpstreamID(id)), g, now)
		}
	}
}

// release lets the records of a finished write be written again.
func (p *Placer) release(w *write) {
	if w.resolved {
		return
	}
	w.resolved = true
	p.storeStarts -= w.starts.store
	p.adapterStarts -= w.starts.adapters
	for _, id := range w.starts.entries {
		delete(p.starting, id)
	}
	w.up.writing = nil
	p.touchUpstream(w.up.id)
	p.touchModelsOf(w.up)
	for _, m := range w.models {
		m.writing = nil
		p.touchModel(m.id)
	}
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
