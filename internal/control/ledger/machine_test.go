package ledger

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/unit"
)

func apply(t assert.TestingT, m *Machine, command Command) Reply {
	data, err := EncodeCommand(command)
	assert.NilError(t, err)
	reply, err := DecodeReply(m.Apply(0, data))
	assert.NilError(t, err)
	return reply
}

func restored(t assert.TestingT, m *Machine) *Machine {
	snapshot, err := m.Snapshot()
	assert.NilError(t, err)
	other := New()
	assert.NilError(t, other.Restore(snapshot))
	again, err := other.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(again, snapshot), "the snapshot of a restored machine differs")
	assert.Equal(t, other.Stats(), m.Stats())
	return other
}

func testClaim(request string, at int64) Claim {
	return Claim{
		Customer: "c", Key: "k", Owner: "h1", OwnerIncarnation: 1, Request: unit.RequestID(request), AtUnixMilli: at,
	}
}

func testFinish(c Claim, outcome unit.Outcome, at int64) Finish {
	return Finish{
		Customer: c.Customer, Key: c.Key, Owner: c.Owner, OwnerIncarnation: c.OwnerIncarnation, Request: c.Request,
		Outcome: outcome, Status: 200, Body: []byte("answer of " + c.Request), AtUnixMilli: at,
	}
}

// naiveModel is a reference model that never removes a claim and derives the state of a key from the times of its claim.
type naiveModel struct {
	now       int64
	claims    map[string]*naiveClaim // by customer and key
	latest    map[unit.HostName]unit.Incarnation
	cancelled map[string]bool
}

type naiveClaim struct {
	Claim
	deadline, changed int64
	outcome           unit.Outcome // "" while open
	answer            []byte
}

func (n *naiveModel) state(key string) string {
	c := n.claims[key]
	if c == nil {
		return StateNotFound
	}
	if c.outcome == unit.OutcomeNotRun {
		return StateNotRun
	}
	if expired := c.changed + answerRetention.Milliseconds(); n.now >= expired {
		if n.now >= (expired/dayMilli+1)*dayMilli+tombstoneRetention.Milliseconds() {
			return StateNotFound
		}
		return StateExpired
	}
	if c.outcome != "" {
		return string(c.outcome)
	}
	if n.now > c.deadline || n.latest[c.Owner] > c.OwnerIncarnation {
		return StateUnknown
	}
	return StateInProgress
}

func (n *naiveModel) claim(c Claim) string {
	n.now = max(n.now, c.AtUnixMilli)
	n.latest[c.Owner] = max(n.latest[c.Owner], c.OwnerIncarnation)
	key := string(c.Customer) + c.Key
	old, state := n.claims[key], n.state(key)
	switch {
	case n.cancelled[key+string(c.Request)]:
		return StateNotRun
	case state == StateExpired:
		return state
	case state == StateNotFound || state == StateNotRun:
		if c.OwnerIncarnation < n.latest[c.Owner] {
			return StateStaleOwner
		}
		n.claims[key] = &naiveClaim{Claim: c, deadline: n.now + c.HoldMilli, changed: n.now}
		return StateGranted
	case old.Body != c.Body:
		return StateConflict
	case old.outcome == "" && n.owns(old, c.Owner, c.OwnerIncarnation, c.Request):
		return StateGranted
	}
	return state
}

func (n *naiveModel) owns(c *naiveClaim, owner unit.HostName, incarnation unit.Incarnation, request unit.RequestID) bool {
	return c.Owner == owner && c.OwnerIncarnation == incarnation && c.Request == request
}

func (n *naiveModel) finish(f Finish) string {
	n.now = max(n.now, f.AtUnixMilli)
	key := string(f.Customer) + f.Key
	c, state := n.claims[key], n.state(key)
	switch {
	case n.cancelled[key+string(f.Request)]:
		return StateNotRun
	case state == StateExpired:
		return state
	case state == StateNotFound && f.Outcome != unit.OutcomeNotRun:
		return state
	case state == StateNotFound:
		n.claims[key] = &naiveClaim{Claim: Claim{Owner: f.Owner, Request: f.Request}, outcome: unit.OutcomeNotRun}
		n.cancelled[key+string(f.Request)] = true
		return StateNotRun
	case !n.owns(c, f.Owner, f.OwnerIncarnation, f.Request):
		if f.Outcome == unit.OutcomeNotRun && c.Request != f.Request {
			n.cancelled[key+string(f.Request)] = true
		}
		return StateConflict
	case c.outcome == unit.OutcomeDone:
		return state
	}
	c.outcome, c.answer, c.changed = f.Outcome, f.Body, n.now
	if f.Outcome == unit.OutcomeNotRun {
		n.cancelled[key+string(f.Request)] = true
	}
	return string(f.Outcome)
}

// Compares the machine with naiveModel over random claims, finishes and restores from snapshots. Guards against a key
// granted to two requests, an answer that changes after a resend or a restore, and a wrong state after the deadline, the
// owner's restart or 24 h. Outcomes of not-run are only drawn with short steps of time, because the machine forgets them
// after 10 minutes and the model doesn't.
func TestClaimsMatchNaiveModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := New()
		model := &naiveModel{
			claims: map[string]*naiveClaim{}, latest: map[unit.HostName]unit.Incarnation{}, cancelled: map[string]bool{},
		}
		steps := rapid.SampledFrom([][]int64{{0, 1, 999, 2000}, {0, 1000, 11 * 3600_000, 13 * 3600_000, 30 * dayMilli}}).
			Draw(t, "steps")
		notRun := len(steps) == 4
		at := int64(1_000_000)
		for range rapid.IntRange(1, 50).Draw(t, "commands") {
			at += rapid.SampledFrom(steps).Draw(t, "step")
			c := testClaim(rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "request"), at)
			c.Customer = rapid.SampledFrom([]unit.CustomerID{"c", "d"}).Draw(t, "customer")
			c.Owner = rapid.SampledFrom([]unit.HostName{"h1", "h2"}).Draw(t, "owner")
			c.OwnerIncarnation = unit.Incarnation(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(t, "incarnation"))
			c.Body[0] = byte(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "body"))
			c.HoldMilli = 3000
			var reply Reply
			var want string
			if rapid.Bool().Draw(t, "claim") {
				reply, want = apply(t, machine, Command{Claim: &c}), model.claim(c)
			} else {
				f := testFinish(c, unit.OutcomeDone, at)
				f.Outcome = rapid.SampledFrom([]unit.Outcome{unit.OutcomeDone, unit.OutcomeUnknown}).Draw(t, "outcome")
				if notRun && rapid.Bool().Draw(t, "not-run") {
					f.Outcome = unit.OutcomeNotRun
				}
				reply, want = apply(t, machine, Command{Finish: &f}), model.finish(f)
			}
			assert.Equal(t, reply.State, want)
			if want == StateDone {
				assert.Equal(t, string(reply.Body), string(model.claims[string(c.Customer)+c.Key].answer))
			}
			if rapid.Bool().Draw(t, "restart") {
				machine = restored(t, machine)
			}
		}
	})
}

// Guards against an answer that expires 24 h after its claim instead of 24 h after it was stored.
func TestAnswersExpireAfterTheirLastChange(t *testing.T) {
	machine, hour := New(), int64(3600_000)
	c := testClaim("r1", hour)
	f := testFinish(c, unit.OutcomeDone, 14*hour)
	apply(t, machine, Command{Claim: &c})
	apply(t, machine, Command{Finish: &f})
	for i, want := range []string{StateDone, StateExpired} {
		c.AtUnixMilli = int64(37+i) * hour
		assert.Equal(t, apply(t, restored(t, machine), Command{Claim: &c}).State, want)
		assert.Equal(t, apply(t, machine, Command{Claim: &c}).State, want)
	}
}

// Guards against a reply to a resend that lacks the owner, request or deadline of the claim in progress.
func TestInProgressNamesOwnerAndDeadline(t *testing.T) {
	machine := New()
	first, second := testClaim("r1", 1000), testClaim("r2", 2000)
	first.HoldMilli = int64(1) << 40
	granted := apply(t, machine, Command{Claim: &first})
	assert.Equal(t, granted.DeadlineUnixMilli, 1000+maxHold.Milliseconds())
	granted.State = StateInProgress
	assert.DeepEqual(t, apply(t, machine, Command{Claim: &second}), granted)
}

// Guards against an operator resolving a claim that isn't unknown, a resolution that isn't recorded, and a first owner
// that finishes a claim after an operator has resolved it as not-run.
func TestOperatorResolvesOnlyUnknown(t *testing.T) {
	machine := New()
	first, second := testClaim("r1", 1), testClaim("r2", 1)
	first.HoldMilli = 10
	resolve := Resolve{Customer: "c", Key: "k", Outcome: unit.OutcomeNotRun, Operator: "ann", Reason: "asked", AtUnixMilli: 2}
	assert.Equal(t, apply(t, machine, Command{Resolve: &resolve}).State, StateNotFound)
	apply(t, machine, Command{Claim: &first})
	assert.Equal(t, apply(t, machine, Command{Resolve: &resolve}).State, StateInProgress)
	apply(t, machine, Command{Started: &HostStarted{Host: "h1", Incarnation: 2, AtUnixMilli: 3}})
	unknown := machine.UnknownClaims(9)
	assert.Equal(t, len(unknown), 1)
	assert.Equal(t, unknown[0].Reply.Owner, first.Owner)
	reply := apply(t, machine, Command{Resolve: &resolve})
	assert.Equal(t, reply.State, StateNotRun)
	assert.Equal(t, len(machine.UnknownClaims(9)), 0)
	want := Resolution{Operator: "ann", Reason: "asked", Outcome: unit.OutcomeNotRun, AtUnixMilli: 3}
	assert.DeepEqual(t, reply.Resolutions, []Resolution{want})
	late := testFinish(first, unit.OutcomeDone, 4)
	assert.Equal(t, apply(t, machine, Command{Finish: &late}).State, StateNotRun)
	second.OwnerIncarnation = 2
	assert.Equal(t, apply(t, machine, Command{Claim: &second}).State, StateGranted)
	assert.Equal(t, apply(t, machine, Command{Finish: &late}).State, StateNotRun)
	assert.Equal(t, machine.Lookup("c", "k").State, StateInProgress)
	machine = restored(t, machine)
	resolve = Resolve{Customer: "c", Key: "k", Outcome: unit.OutcomeDone, Operator: "bo", Reason: "seen", AtUnixMilli: 4 + answerRetention.Milliseconds()}
	assert.Equal(t, apply(t, machine, Command{Resolve: &resolve}).State, StateExpired)
}

// Guards against answers over a size limit that are stored, lose their outcome, or still count towards the memory limit.
func TestAnswersOverABoundKeepTheirOutcome(t *testing.T) {
	limits := DefaultLimits()
	limits.Bytes = 3000
	for _, test := range []struct {
		name   string
		limits Limits
		change func(*Finish)
	}{
		{"body", DefaultLimits(), func(f *Finish) { f.Body = make([]byte, maxBodyBytes+1) }},
		{"headers", DefaultLimits(), func(f *Finish) { f.Headers = []Header{{"a", string(make([]byte, maxHeaderBytes))}} }},
		{"memory", limits, func(f *Finish) { f.Body = make([]byte, 3000) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			machine := New()
			apply(t, machine, Command{Limits: &test.limits})
			c := testClaim("r1", 1)
			apply(t, machine, Command{Claim: &c})
			f := testFinish(c, unit.OutcomeDone, 2)
			test.change(&f)
			assert.Equal(t, apply(t, machine, Command{Finish: &f}).State, StateTooLarge)
			reply := apply(t, restored(t, machine), Command{Claim: &Claim{
				Customer: "c", Key: "k", Owner: "h2", OwnerIncarnation: 1, Request: "r2", AtUnixMilli: 3,
			}})
			assert.Equal(t, reply.State, StateTooLarge)
			assert.Equal(t, reply.Status, 200)
			assert.Assert(t, reply.Claimed && len(reply.Body) == 0 && machine.Stats().Bytes < 3000)
		})
	}
}

// Guards against a ledger that exceeds its limits, expires claims early to make room, or refuses a claim without a state
// that says why.
func TestFullLedgerRefusesNewClaims(t *testing.T) {
	for _, test := range []struct {
		name   string
		limits Limits
	}{
		{"bytes", Limits{Bytes: 3 * (claimOverheadBytes + 20), Claims: 100, Tombstones: 100}},
		{"claims", Limits{Bytes: 1 << 20, Claims: 3, Tombstones: 100}},
		{"tombstones", Limits{Bytes: 1 << 20, Claims: 100, Tombstones: 3}},
	} {
		t.Run(test.name, func(t *testing.T) {
			machine := New()
			apply(t, machine, Command{Limits: &test.limits})
			states := map[string]int{}
			for i := range 5 {
				c := testClaim(fmt.Sprint("r", i), 1)
				c.Key = fmt.Sprint(i)
				states[apply(t, machine, Command{Claim: &c}).State]++
			}
			assert.DeepEqual(t, states, map[string]int{StateGranted: 3, StateFull: 2})
			c := testClaim("again", 1+answerRetention.Milliseconds())
			c.Key = "0"
			assert.Equal(t, apply(t, machine, Command{Claim: &c}).State, StateExpired)
			assert.Equal(t, machine.Stats(), Stats{Tombstones: 3})
		})
	}
	oversized := testClaim("r", 1)
	oversized.Record = make([]byte, maxRecordBytes+1)
	assert.DeepEqual(t, apply(t, New(), Command{Claim: &oversized}), Reply{State: StateTooLarge})
}

// Guards against a change of the shard function that moves customers, after which a second group could grant the same key.
func TestShardIsStable(t *testing.T) {
	seen := map[uint32]int{}
	for i := range 3000 {
		seen[Shard(unit.CustomerID(fmt.Sprint("c", i)), 3)]++
	}
	assert.Assert(t, len(seen) == 3 && seen[0] == 0 && seen[1] > 900 && seen[2] > 900 && seen[3] > 900)
	assert.Equal(t, Shard("intake-utrecht", 4), uint32(2))
	assert.Equal(t, Shard("norrmark", 7), uint32(5))
}

// Guards against an invalid log entry that crashes a control host or leaves a state that a snapshot doesn't restore exactly.
func FuzzDecodeCommand(f *testing.F) {
	c := testClaim("r1", 1)
	finish := testFinish(c, unit.OutcomeDone, 1)
	resolve := Resolve{Customer: "c", Key: "k", Outcome: unit.OutcomeDone, Operator: "ann", Reason: "x"}
	for _, command := range []Command{
		{Claim: &c},
		{Finish: &finish},
		{Resolve: &resolve},
		{Started: &HostStarted{Host: "h", Incarnation: 2}},
		{Limits: &Limits{Bytes: 1, Claims: 1, Tombstones: 1}},
	} {
		seed, err := EncodeCommand(command)
		assert.NilError(f, err)
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		machine := New()
		apply(t, machine, Command{Claim: &c})
		reply, err := DecodeReply(machine.Apply(1, data))
		assert.NilError(t, err)
		_, decodeErr := DecodeCommand(data)
		assert.Equal(t, decodeErr != nil, reply.State == StateBadCommand)
		restored(t, machine)
	})
}

func BenchmarkClaimAndFinish(b *testing.B) {
	machine := New()
	machine.limits = Limits{Bytes: 1 << 30, Claims: 1 << 30, Tombstones: 1 << 30}
	i := 0
	for b.Loop() {
		i++
		c := testClaim("r", int64(i)*100)
		c.Key = fmt.Sprint(i)
		f := testFinish(c, unit.OutcomeDone, int64(i)*100)
		apply(b, machine, Command{Claim: &c})
		apply(b, machine, Command{Finish: &f})
	}
}
