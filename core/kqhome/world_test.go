package kqhome_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"kumquatlink/core/kqcall"
	"kumquatlink/core/kqhome"
	"kumquatlink/core/kqledger"
)

// Times of the simulated world.
const (
	callerWindow = 10 * time.Second
	copyLife     = 5 * time.Second
	maxKeys      = 2000
)

func worldLimits() kqledger.Limits {
	return kqledger.Limits{
		ResendWindow: callerWindow + copyLife, AnswerTTL: 3 * time.Second, RecordTTL: 20 * time.Second,
		MaxRecords: 64, MaxAnswerBytes: 64, MaxBytesPerAnswer: 16,
	}
}

// process is one node; a restart gives it a new incarnation and no memory.
type process struct {
	self   kqhome.Node
	home   *kqhome.Home
	up     bool
	paused bool
	// ended is set when the process ended by its own word.
	ended bool
	side  int
	claim *kqhome.Claim
	runs  []*run
}

// envelope is a copy of a call on its way to a home.
type envelope struct {
	key  int
	to   kqhome.Node
	sent time.Duration
	// side is that of the entry: what it sends does not cross a split, though
	// the callers use both entries.
	side int
}

// run is a call that a home lets run.
type run struct {
	key        int
	generation uint64
	remote     bool
	gate       *process
	gateStart  uint64
	executed   bool
	end        kqcall.End
}

// world is a service with its store, its callers and everything that fails.
type world struct {
	random    *rand.Rand
	now       time.Duration
	nodes     []*process
	entries   []kqhome.Table
	stored    kqhome.Table
	written   bool
	storeDown bool
	first     map[int]time.Duration
	copies    []envelope
	// running are calls whose home may have forgotten them.
	running []*run
	ran     map[int]int
	keys    int
	counts  map[string]int
	faults  []string
}

func newWorld(seed uint64, nodes int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), first: map[int]time.Duration{}, ran: map[int]int{}, counts: map[string]int{},
		entries: make([]kqhome.Table, 2),
	}
	for i := range nodes {
		p := &process{self: kqhome.Node{NodeID: fmt.Sprintf("n%d", i)}}
		w.nodes = append(w.nodes, p)
		w.start(p)
	}
	return w
}

func (w *world) start(p *process) {
	p.self.Incarnation++
	p.home = kqhome.New("orders", p.self, worldLimits())
	p.up, p.paused, p.ended, p.claim, p.runs = true, false, false, nil, nil
}

func (w *world) any() *process { return w.nodes[w.random.IntN(len(w.nodes))] }

func (w *world) find(id string) *process {
	for _, p := range w.nodes {
		if p.self.NodeID == id {
			return p
		}
	}
	return nil
}

func (p *process) active() bool { return p.up && !p.paused }

func (w *world) reach(a, b *process) bool {
	return a.active() && b.active() && (a == b || a.side == b.side)
}

func (w *world) storeReached(p *process) bool {
	return p.active() && !w.storeDown && p.side == 0
}

// step lets one thing happen.
func (w *world) step() {
	w.now += time.Duration(w.random.IntN(60)) * time.Millisecond
	p := w.any()
	switch n := w.random.IntN(100); {
	case n < 22:
		w.send()
	case n < 44:
		w.deliver()
	case n < 58:
		w.advanceRun()
	case n < 66:
		w.join(p)
	case n < 71:
		w.handOver(p, w.any())
	case n < 79:
		w.claim(p)
	case n < 94:
		w.spread(p, w.any())
	case n < 96 && p.active():
		if p.home.EnforceRemote() {
			w.counts["enforced"]++
		}
		p.home.Tick(w.now)
	case w.random.IntN(10) == 0:
		w.fault(p)
	}
}

// Lengths, in steps, of the parts of a history.
const (
	calmSteps  = 300
	rounds     = 5
	roundSteps = 1500
)

// live runs a whole history: again and again all is well for a while, then
// some things fail and stay so for longer than the window.
func (w *world) live() {
	for range rounds {
		w.heal()
		for range calmSteps {
			w.step()
		}
		for range 1 + w.random.IntN(4) {
			w.fault(w.any())
		}
		for range roundSteps {
			w.step()
		}
	}
}

func (w *world) heal() {
	w.storeDown = false
	for _, p := range w.nodes {
		p.side, p.paused = 0, false
		if !p.up {
			w.start(p)
		}
	}
}

func (w *world) fault(p *process) {
	switch w.random.IntN(16) {
	case 0:
		if p.up {
			p.up = false
			w.counts["crashes"]++
		}
	case 1, 2, 3:
		if !p.up {
			w.start(p)
			w.counts["restarts"]++
		}
	case 4:
		p.paused = true
		w.counts["pauses"]++
	case 5, 6, 7:
		p.paused = false
	case 8, 9:
		for _, q := range w.nodes {
			q.side = w.random.IntN(2)
		}
		w.counts["splits"]++
	case 10:
		for _, q := range w.nodes {
			q.side = 0
		}
	case 12:
		w.storeDown = true
		w.counts["store outages"]++
	case 13, 14:
		w.storeDown = false
	case 15:
		if p.active() && len(p.home.ActiveBuckets()) == 0 && len(p.home.PendingOffers()) == 0 && len(p.runs) == 0 {
			p.up, p.ended = false, true
			w.counts["leavings"]++
		}
	}
}

// send makes a first copy of a key, or another within the callers' window.
func (w *world) send() {
	key := w.keys
	switch {
	case w.keys > 0 && w.random.IntN(2) == 0:
		key = w.random.IntN(w.keys)
		if w.keys > 20 && w.random.IntN(2) == 0 {
			key = w.keys - 1 - w.random.IntN(20)
		}
		if w.now-w.first[key] > callerWindow {
			return
		}
		w.counts["resends"]++
	case w.keys < maxKeys:
		w.first[key] = w.now
		w.keys++
	default:
		return
	}
	side := w.random.IntN(len(w.entries))
	holder := w.entries[side].Tokens[kqhome.BucketOf(keyName(key))].Holder
	w.copies = append(w.copies, envelope{key: key, to: holder, sent: w.now, side: side})
}

func keyName(key int) string { return fmt.Sprintf("key-%d", key) }

func (w *world) deliver() {
	if len(w.copies) == 0 {
		return
	}
	i := w.random.IntN(len(w.copies))
	c := w.copies[i]
	p := w.find(c.to.NodeID)
	if p != nil && p.paused && w.now-c.sent <= copyLife {
		return
	}
	w.copies = append(w.copies[:i], w.copies[i+1:]...)
	if p == nil || !p.active() || p.side != c.side && w.split() || p.self != c.to || w.now-c.sent > copyLife {
		return
	}
	if w.random.IntN(10) == 0 {
		w.copies = append(w.copies, c)
		w.counts["doubled"]++
	}
	v := p.home.Begin(w.now, keyName(c.key), 1)
	switch {
	case v.Action == kqledger.ActionRun:
		r := &run{key: c.key, generation: v.Token.Epoch.Generation, remote: v.Token.Remote}
		p.runs = append(p.runs, r)
		w.running = append(w.running, r)
	case v.Action == kqledger.ActionReplay:
		w.counts["replayed"]++
		if got, want := string(v.Answer), keyName(c.key); got != want {
			w.faults = append(w.faults, fmt.Sprintf("answer: got %q, want %q", got, want))
		}
	case v.End.Cause == kqcall.CauseKeyInDoubt:
		w.counts["doubted"]++
	case v.End.Cause == kqcall.CauseMoved:
		w.counts["moved"]++
	}
}

// split is whether the nodes are on two sides.
func (w *world) split() bool {
	for _, p := range w.nodes {
		if p.side != 0 {
			return true
		}
	}
	return false
}

// advanceRun moves one call on: to a gate, to the backend server, or its
// answer to the home, which may be gone.
func (w *world) advanceRun() {
	if len(w.running) == 0 {
		return
	}
	i := w.random.IntN(len(w.running))
	r := w.running[i]
	home := w.homeOf(r)
	switch {
	case r.gate == nil:
		if home == nil {
			w.running = append(w.running[:i], w.running[i+1:]...)
		} else if home.active() {
			w.toGate(home, r)
		}
	case !r.executed && r.gate.self.Incarnation == r.gateStart && r.gate.active():
		r.executed = true
		r.end = kqcall.Ran()
		w.ran[r.key]++
		w.counts["runs"]++
		if w.ran[r.key] > 1 {
			w.faults = append(w.faults, fmt.Sprintf("%s ran %d times", keyName(r.key), w.ran[r.key]))
		}
	case !r.executed && r.gate.active():
		r.executed, r.end = true, kqcall.Unknown(kqcall.CauseLinkLost)
	case r.executed:
		w.running = append(w.running[:i], w.running[i+1:]...)
		if home != nil {
			w.finish(home, r)
		}
	}
}

func (w *world) homeOf(r *run) *process {
	for _, p := range w.nodes {
		for _, own := range p.runs {
			if own == r && p.up {
				return p
			}
		}
	}
	return nil
}

// toGate sends a call to a gate that its home may use.
func (w *world) toGate(home *process, r *run) {
	g := w.any()
	if r.remote && g == home || !home.home.Table().Usable(g.self.NodeID) || !w.reach(home, g) {
		return
	}
	if g.home.Admit(kqhome.BucketOf(keyName(r.key)), r.generation) {
		r.gate, r.gateStart = g, g.self.Incarnation
		return
	}
	w.counts["fenced"]++
	r.end, r.executed, r.gate, r.gateStart = kqcall.NotRun(kqcall.CauseMoved), true, g, g.self.Incarnation
}

func (w *world) finish(home *process, r *run) {
	end := r.end
	if end.Outcome == kqcall.OutcomeRan && w.random.IntN(10) == 0 {
		end = kqcall.Unknown(kqcall.CauseLinkLost)
		w.counts["answers lost"]++
	}
	for i, own := range home.runs {
		if own == r {
			home.runs = append(home.runs[:i], home.runs[i+1:]...)
			break
		}
	}
	s, passedOn := home.home.Finish(w.now, keyName(r.key), end, []byte(keyName(r.key)))
	if passedOn {
		w.settle(home, []kqhome.Settlement{s})
	}
}

func (w *world) settle(from *process, all []kqhome.Settlement) {
	for _, s := range all {
		to := w.find(from.home.Table().Tokens[s.Bucket].Holder.NodeID)
		if to != nil && w.reach(from, to) {
			to.home.Settle(w.now, s)
			w.counts["settled"]++
		}
	}
}

// join registers a node in the store, or syncs it with its peers.
func (w *world) join(p *process) {
	if !p.active() || p.home.Synced() && p.home.Registered() {
		return
	}
	if !w.storeReached(p) {
		q := w.any()
		if w.reach(p, q) && p != q {
			t, synced := q.home.AnswerSync(p.self)
			p.home.RecordSyncReply(q.self.NodeID, synced, t)
			if p.home.Synced() {
				w.counts["synced with peers"]++
			}
		}
		return
	}
	switch {
	case !w.written:
		w.stored, w.written = kqhome.NewTable("orders", p.self), true
	default:
		if m, found := w.stored.Member(p.self.NodeID); !found || m != p.self || !w.stored.Usable(p.self.NodeID) {
			w.stored = w.stored.Register(p.self)
		}
	}
	if w.random.IntN(4) == 0 {
		w.counts["store answers lost"]++
		return
	}
	p.home.AdoptCreated(w.stored)
}

func (w *world) spread(p, q *process) {
	if w.reach(p, q) {
		q.home.MergeTable(p.home.Table())
	}
	if p.active() {
		e := p.side
		if !w.split() {
			e = w.random.IntN(len(w.entries))
		}
		w.entries[e], _ = w.entries[e].Merge(p.home.Table())
	}
}

// handOver lets the message, the parts or the answer be lost.
func (w *world) handOver(p, q *process) {
	if p == q || !p.active() {
		return
	}
	bucket, to := -1, q.self
	if offered := p.home.PendingOffers(); len(offered) > 0 {
		bucket, to = offered[0].Bucket, offered[0].Token.Holder
		q = w.find(to.NodeID)
	} else if holds := p.home.ActiveBuckets(); len(holds) > 0 {
		bucket = holds[w.random.IntN(len(holds))]
	}
	if bucket < 0 {
		return
	}
	if len(p.home.PendingOffers()) > 0 && !w.reach(p, q) && w.random.IntN(4) == 0 {
		p.home.PresumeTaken(bucket)
		w.counts["presumed given"]++
		return
	}
	o, ok := p.home.StartHandover(w.now, bucket, to)
	if !ok || !w.reach(p, q) || w.random.IntN(6) == 0 {
		return
	}
	accepted := q.home.EvaluateOffer(o)
	if accepted {
		if q.home.HasTaken(o) {
			w.counts["offers again"]++
		} else if x, found := w.pull(p, o.Bucket, o.Parts, o.Token); found {
			accepted = q.home.Take(w.now, o, x)
		} else {
			q.home.Decline(o)
			accepted = false
		}
	}
	if w.random.IntN(6) == 0 {
		w.counts["hand-over answers lost"]++
		return
	}
	if !accepted {
		p.home.CancelHandover(bucket)
		return
	}
	w.counts["hand-overs"]++
	w.settle(p, p.home.CompleteHandover(bucket, o.Token))
}

func (w *world) pull(from *process, bucket, parts int, token kqhome.Token) (kqledger.Export, bool) {
	var whole kqledger.Export
	for i := range max(1, parts) {
		x, ok := from.home.Part(bucket, i, token)
		if !ok || w.random.IntN(20) == 0 {
			return whole, false
		}
		whole.Entries, whole.DoubtLeft = append(whole.Entries, x.Entries...), x.DoubtLeft
	}
	return whole, true
}

// claim begins a claim or carries one on.
func (w *world) claim(p *process) {
	if !p.active() || !p.home.Synced() || !p.home.Registered() {
		return
	}
	if p.claim == nil {
		w.beginClaim(p)
		return
	}
	c := p.claim
	for _, id := range c.Pending() {
		if q := w.find(id); q != nil && w.random.IntN(5) > 0 {
			w.fence(p, q, c)
		}
	}
	if c.Refused() || w.random.IntN(30) == 0 {
		p.claim = nil
		return
	}
	if !c.Advance() {
		return
	}
	p.home.CompleteClaim(w.now, c)
	p.claim = nil
	w.counts["claims"]++
	if silent := c.LeftOut(); len(silent) > 0 && w.storeReached(p) && !w.stored.Usable(silent[0]) {
		w.counts["left out"]++
		w.stored = w.stored.Remove(silent)
		p.home.MergeTable(w.stored)
	}
}

func (w *world) fence(p, q *process, c *kqhome.Claim) {
	if q.ended {
		c.RecordEnded(q.self)
		return
	}
	if !w.reach(p, q) {
		return
	}
	r := q.home.Fence(w.now, c.Table(), c.Buckets())
	p.home.MergeTable(r.Table)
	for _, b := range r.Held {
		x, found := w.pull(q, b.Bucket, b.Parts, c.Table().Tokens[b.Bucket])
		if !found {
			return
		}
		c.AddLedger(b, x)
		w.counts["claims from living holders"]++
		if w.random.IntN(2) == 0 {
			// The word that the bucket was taken may also never come.
			w.settle(q, q.home.CompleteHandover(b.Bucket, c.Table().Tokens[b.Bucket]))
		}
	}
	c.RecordReply(r)
}

// beginClaim claims from any holder, dead or not: it must do no harm.
func (w *world) beginClaim(p *process) {
	if !w.storeReached(p) || !w.written {
		return
	}
	holder := p.home.Table().Tokens[w.random.IntN(kqhome.Buckets)].Holder
	if q := w.find(holder.NodeID); q != nil && q.active() && q.self == holder && w.random.IntN(20) > 0 {
		return
	}
	p.home.MergeTable(w.stored)
	among := kqhome.AllBuckets()
	if holder == p.self {
		among = p.home.UnheldBuckets()
	}
	c, some := kqhome.NewClaim(p.home.Table(), p.self, holder, among)
	if !some {
		return
	}
	w.stored = c.Table()
	if w.random.IntN(8) == 0 {
		w.counts["store answers lost"]++
		return
	}
	p.home.Fence(w.now, c.Table(), c.Buckets())
	p.claim = c
}
