package quorum

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	simTick            = 10 * time.Millisecond
	simElectionTimeout = 150 * time.Millisecond
)

// event is a function to be run at a moment of simulated time. Events at the same moment run in the order of number.
type event struct {
	at     unit.Moment
	number uint64
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].number < q[j].number)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simHost is a simulated host whose clock drifts and whose disk may lose unsynced writes in a crash.
type simHost struct {
	name          string
	incarnation   int // incremented at every crash and start, so that events of an earlier run are dropped
	node          *Node
	up            bool
	frozenUntil   unit.Moment
	clockOffset   time.Duration
	clockRate     float64
	steadyClock   bool // the clock stops while the host is suspended
	identity      string
	disk          simDisk
	applied       Index
	state         uint64
	snapshotIndex Index
	reads         map[uint64]Index // by read ID: the last committed index when the read was issued
}

func (h *simHost) clock(now unit.Moment) unit.Moment {
	return unit.Moment(float64(now) * h.clockRate).Add(h.clockOffset)
}

// simDisk simulates the journal. Writes are durable after a sync; a crash keeps a random prefix of the unsynced writes.
type simDisk struct {
	durable Loaded
	pending []Persist
	syncing bool
}

func (d *simDisk) write(p Persist) {
	if p.Snapshot != nil {
		d.durable.Snapshot = *p.Snapshot
	}
	if p.Reset {
		d.durable.Entries = nil
	}
	if len(p.Entries) > 0 {
		d.durable.Entries = slices.DeleteFunc(slices.Clone(d.durable.Entries),
			func(e Entry) bool { return e.Index >= p.Entries[0].Index })
		d.durable.Entries = append(d.durable.Entries, p.Entries...)
	}
	if p.HardState != nil {
		d.durable.HardState = *p.HardState
	}
	if p.Snapshot != nil {
		d.durable.Entries = slices.DeleteFunc(slices.Clone(d.durable.Entries),
			func(e Entry) bool { return e.Index <= p.Snapshot.Index })
	}
}

// simulator runs hosts in simulated time and checks the invariants of the group after every step.
type simulator struct {
	seed   uint64
	random *rand.Rand
	now    unit.Moment
	events eventQueue
	number uint64
	hosts  []*simHost
	peers  []string

	lossRate, duplicateRate float64
	maxDelay                time.Duration
	maxSyncDelay            time.Duration
	blockedLinks            map[[2]string]bool

	committed       []Entry
	states          []uint64 // expected state machine state after each committed entry
	leaders         map[Term]NodeID
	votes           map[string]NodeID
	nextRead        uint64
	successfulReads int
	failure         string
}

func newSimulator(seed uint64, size int) *simulator {
	w := &simulator{
		seed: seed, random: rand.New(rand.NewPCG(seed, 1)), blockedLinks: map[[2]string]bool{},
		leaders: map[Term]NodeID{}, votes: map[string]NodeID{},
		maxDelay: 5 * time.Millisecond, maxSyncDelay: 3 * time.Millisecond,
	}
	for i := range size {
		w.peers = append(w.peers, fmt.Sprintf("h%d", i+1))
	}
	for _, name := range w.peers {
		w.addHost(name)
	}
	return w
}

func (w *simulator) addHost(name string) *simHost {
	h := &simHost{
		name: name, clockRate: 0.97 + 0.06*w.random.Float64(), clockOffset: time.Duration(w.random.IntN(1000)) * time.Second,
		identity: "1",
	}
	w.hosts = append(w.hosts, h)
	w.boot(h)
	return h
}

func (w *simulator) host(name string) *simHost {
	at := slices.IndexFunc(w.hosts, func(h *simHost) bool { return h.name == name })
	if at < 0 {
		return nil
	}
	return w.hosts[at]
}

func (w *simulator) boot(h *simHost) {
	h.incarnation++
	h.up, h.frozenUntil, h.reads = true, 0, map[uint64]Index{}
	h.disk.pending, h.disk.syncing = nil, false
	loaded := h.disk.durable
	h.applied, h.snapshotIndex, h.state = loaded.Snapshot.Index, loaded.Snapshot.Index, w.stateAt(loaded.Snapshot.Index)
	h.node = New(Config{
		Self: NewNodeID(h.name, h.identity), Peers: w.peers, Seed: w.seed, HeartbeatInterval: 30 * time.Millisecond,
		ElectionTimeout: simElectionTimeout, ChunkBytes: 3, MaxBatchBytes: 64, MaxInFlight: 3, MaxUncommitted: 50,
		TrailingEntries: 5,
	}, loaded, h.clock(w.now))
	w.schedule(0, w.tick(h, h.incarnation))
}

func (w *simulator) schedule(after time.Duration, run func()) {
	w.number++
	heap.Push(&w.events, event{w.now.Add(after), w.number, run})
}

// tick returns an event that ticks a host and schedules the next tick. A frozen host misses ticks and gets a late one when
// it resumes.
func (w *simulator) tick(h *simHost, incarnation int) func() {
	return func() {
		if h.incarnation != incarnation || !h.up {
			return
		}
		w.step(h, Input{Tick: true})
		w.schedule(simTick, w.tick(h, incarnation))
	}
}

// step passes one input to a host, carries out the output and checks the invariants. A frozen host gets the input when it
// resumes.
func (w *simulator) step(h *simHost, in Input) {
	if !h.up || w.failure != "" {
		return
	}
	if w.now < h.frozenUntil {
		incarnation := h.incarnation
		w.schedule(h.frozenUntil.Sub(w.now), func() {
			if h.incarnation == incarnation {
				w.step(h, in)
			}
		})
		return
	}
	out := h.node.Step(h.clock(w.now), in)
	w.checkLeader(h)
	if out.Persist != nil {
		h.disk.pending = append(h.disk.pending, *out.Persist)
		w.sync(h)
	}
	if out.SaveSnapshot != nil {
		w.save(h, *out.SaveSnapshot)
	}
	for _, m := range out.Send {
		w.checkVote(h, m)
		w.send(h, m)
	}
	if out.Restore != nil {
		w.restore(h, out.Restore)
	}
	for _, entry := range out.Committed {
		w.apply(h, entry)
	}
	for _, read := range out.Reads {
		w.checkRead(h, read)
	}
	w.checkLeases()
	w.snapshot(h)
}

// sync makes durable, after a random delay, the writes that are pending when it starts.
func (w *simulator) sync(h *simHost) {
	if h.disk.syncing {
		return
	}
	h.disk.syncing = true
	count, incarnation := len(h.disk.pending), h.incarnation
	w.schedule(time.Duration(1+w.random.Int64N(int64(w.maxSyncDelay))), func() {
		if h.incarnation != incarnation {
			return
		}
		for _, p := range h.disk.pending[:count] {
			h.disk.write(p)
		}
		number := h.disk.pending[count-1].Number
		h.disk.pending = h.disk.pending[count:]
		h.disk.syncing = false
		w.step(h, Input{Persisted: &Persisted{Number: number}})
		if len(h.disk.pending) > 0 {
			w.sync(h)
		}
	})
}

// save makes a snapshot durable after a random delay, unless the host crashes before.
func (w *simulator) save(h *simHost, s Snapshot) {
	incarnation := h.incarnation
	w.schedule(time.Duration(1+w.random.Int64N(4*int64(w.maxSyncDelay))), func() {
		if h.incarnation != incarnation {
			return
		}
		if s.Index > h.disk.durable.Snapshot.Index {
			h.disk.write(Persist{Snapshot: &s})
		}
		w.step(h, Input{SnapshotSaved: &s})
	})
}

// send encodes a message as the transport does, and may lose, duplicate or delay it.
func (w *simulator) send(from *simHost, m Message) {
	payload, err := m.Encode()
	if err != nil {
		w.fail("cannot encode %v: %v", m, err)
		return
	}
	copies := 1
	if w.random.Float64() < w.duplicateRate {
		copies = 2
	}
	for range copies {
		if w.random.Float64() < w.lossRate {
			continue
		}
		w.schedule(time.Duration(1+w.random.Int64N(int64(w.maxDelay))), func() { w.deliver(from.name, payload) })
	}
}

func (w *simulator) deliver(from string, payload []byte) {
	m, err := DecodeMessage(payload)
	if err != nil {
		w.fail("cannot decode a message: %v", err)
		return
	}
	if to := w.host(m.To.Host()); to != nil && !w.blockedLinks[[2]string{from, to.name}] {
		w.step(to, Input{Message: m})
	}
}

// crash stops a host and loses its unsynced writes except for a random prefix. A torn write counts as lost, because its
// checksum doesn't match.
func (w *simulator) crash(h *simHost) {
	if !h.up {
		return
	}
	h.up = false
	h.incarnation++
	for _, p := range h.disk.pending[:w.random.IntN(len(h.disk.pending)+1)] {
		h.disk.write(p)
	}
}

// suspend stops a host for d. Inputs that arrive meanwhile wait until it resumes.
func (w *simulator) suspend(h *simHost, d time.Duration) {
	h.frozenUntil = w.now.Add(d)
	if h.steadyClock {
		h.clockOffset -= time.Duration(float64(d) * h.clockRate)
	}
}

// wipe restarts a host with an empty disk that has a new identity.
func (w *simulator) wipe(h *simHost) {
	w.crash(h)
	h.disk = simDisk{}
	h.identity += "x"
	w.boot(h)
}

func (w *simulator) run(d time.Duration) {
	end := w.now.Add(d)
	for w.failure == "" && len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *simulator) fail(format string, arguments ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("seed %d at %v: ", w.seed, time.Duration(w.now)) + fmt.Sprintf(format, arguments...)
	}
}

func (w *simulator) stateAt(index Index) uint64 {
	if index == 0 {
		return 0
	}
	return w.states[index-1]
}

func nextState(state uint64, entry Entry) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%d %d %d %s", state, entry.Index, entry.Term, entry.Data)
	return hash.Sum64()
}

// apply applies a committed entry on a host and checks that all hosts apply the same entries in order.
func (w *simulator) apply(h *simHost, entry Entry) {
	if entry.Index != h.applied+1 {
		w.fail("%s applied %d after %d", h.name, entry.Index, h.applied)
		return
	}
	h.applied, h.state = entry.Index, nextState(h.state, entry)
	if int(entry.Index) > len(w.committed) {
		w.committed = append(w.committed, entry)
		w.states = append(w.states, h.state)
	}
	if w.states[entry.Index-1] != h.state {
		w.fail("%s committed entry %d of term %d, another host committed term %d", h.name, entry.Index, entry.Term,
			w.committed[entry.Index-1].Term)
	}
}

func (w *simulator) restore(h *simHost, s *Snapshot) {
	if s.Index < h.applied || int(s.Index) > len(w.states) || string(s.Data) != fmt.Sprint(w.states[s.Index-1]) {
		w.fail("%s restored a wrong snapshot of %d", h.name, s.Index)
		return
	}
	h.applied, h.state, h.snapshotIndex = s.Index, w.states[s.Index-1], s.Index
}

func (w *simulator) snapshot(h *simHost) {
	if h.applied < h.snapshotIndex+15 || w.failure != "" {
		return
	}
	h.snapshotIndex = h.applied
	w.step(h, Input{Snapshot: &Snapshot{Index: h.applied, Data: []byte(fmt.Sprint(h.state))}})
}

// checkLeader checks that a term has only one leader and that a new leader holds every committed entry of an earlier term.
// Votes may arrive so late that the leader of a later term has already committed entries, which the late winner of the
// earlier term needn't hold.
func (w *simulator) checkLeader(h *simHost) {
	if h.node.role != Leader {
		return
	}
	term := h.node.hardState.Term
	known, ok := w.leaders[term]
	if ok && known != h.node.cfg.Self {
		w.fail("%s and %s both lead in term %d", known, h.node.cfg.Self, term)
	}
	if ok {
		return
	}
	w.leaders[term] = h.node.cfg.Self
	for _, entry := range w.committed {
		if entry.Term < term && entry.Index > h.node.log.base && !h.node.log.matches(entry.Index, entry.Term) {
			w.fail("%s leads in term %d without committed entry %d of term %d", h.name, term, entry.Index, entry.Term)
		}
	}
}

// checkVote checks that no node votes for two candidates in one term.
func (w *simulator) checkVote(h *simHost, m Message) {
	choice := m.To
	switch {
	case m.Kind == MessageVote:
		choice = m.From
	case m.Kind == MessageVoteResponse && !m.Reject:
	default:
		return
	}
	key := fmt.Sprintf("%s %d", m.From, m.Term)
	if known, ok := w.votes[key]; ok && known != choice {
		w.fail("%s voted for %s and %s in term %d", h.name, known, choice, m.Term)
	}
	w.votes[key] = choice
}

// checkLeases checks that at most one host, frozen ones included, holds a valid lease, and that no entry of a later term has
// been committed while it does.
func (w *simulator) checkLeases() {
	var holder *simHost
	for _, h := range w.hosts {
		if !h.up || !h.node.LeaseValid(h.clock(w.now)) {
			continue
		}
		if holder != nil {
			w.fail("%s and %s both hold a lease", holder.name, h.name)
		}
		holder = h
		if last := len(w.committed); last > 0 && w.committed[last-1].Term > h.node.hardState.Term {
			w.fail("%s holds a lease of term %d and entry %d of term %d is committed", h.name, h.node.hardState.Term, last,
				w.committed[last-1].Term)
		}
	}
}

func (w *simulator) read(h *simHost) {
	if h.up {
		w.nextRead++
		h.reads[w.nextRead] = Index(len(w.committed))
		w.step(h, Input{Read: w.nextRead})
	}
}

// checkRead checks that each read has one result, which includes all entries committed before the read was issued.
func (w *simulator) checkRead(h *simHost, read ReadResult) {
	issued, ok := h.reads[read.ID]
	if !ok {
		w.fail("%s answered read %d twice", h.name, read.ID)
	}
	delete(h.reads, read.ID)
	if read.Err != nil {
		return
	}
	w.successfulReads++
	if read.Index < issued {
		w.fail("read %d on %s sees entry %d and was issued after %d was committed", read.ID, h.name, read.Index, issued)
	}
}
