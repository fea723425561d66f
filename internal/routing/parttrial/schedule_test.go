package parttrial

import (
	"cmp"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
)

const (
	subject crashcause.PartID = iota + 1 // stood in crashes of both deadly parts, as subject2
	subject2
	deadly
	deadly2
	single // crashed engines alone
	sound
)

func at(t time.Duration) unit.Moment { return unit.Moment(t) }

func partsOf(ids ...crashcause.PartID) []crashcause.Part {
	var parts []crashcause.Part
	for i, id := range ids {
		parts = append(parts, crashcause.Part{ID: id, Position: uint8(i)})
	}
	return parts
}

func crash(r *crashcause.Register, n int, ids ...crashcause.PartID) {
	r.RecordCrash(at(time.Duration(n)*time.Second), registry.Lifetime{Endpoint: "e", Born: int64(n)}, partsOf(ids...))
}

// blockedParts returns a register in which all parts but sound are blocked after 14 s. The subjects and deadly2 are doubtful, with no and 2
// crashes that only they explain.
func blockedParts() *crashcause.Register {
	r := crashcause.New(0)
	for n, ids := range [][]crashcause.PartID{
		{subject, subject2, deadly},
		{subject, subject2, deadly2},
		{subject, subject2, deadly},
		{subject, deadly2},
		{deadly},
		{deadly2},
		{deadly2},
		{deadly},
		{deadly},
		{single},
		{single},
		{single},
	} {
		crash(r, n+3, ids...)
	}
	return r
}

// Guards against trials that can tell nothing, and against more crashes for the sake of trials than a part that isn't harmless may cause.
func TestTrialsAreGrantedForDoubtfulParts(t *testing.T) {
	const quiet = 20 * time.Second // long after the last crash
	cases := []struct {
		name    string
		start   time.Duration
		run     func(s *Schedule, r *crashcause.Register)
		part    crashcause.PartID
		rivals  uint
		engines uint // 12 if 0
		at      time.Duration
		granted bool
	}{
		{name: "a part whose crashes others explain", part: subject, at: quiet, granted: true},
		{name: "not while engines crash", part: subject, at: 14*time.Second + 400*time.Millisecond},
		{name: "a part that isn't blocked", part: sound, at: quiet},
		{name: "a part that crashes engines by itself", part: single, at: time.Hour},
		{name: "a part with crashes of its own waits longer", part: deadly2, at: quiet},
		{name: "until the more likely ones have been tried", part: deadly2, at: quiet + 10*time.Second, granted: true},
		{name: "a request with another suspected part waits longer", part: subject, rivals: 2, at: quiet},
		{name: "until better ones have been tried", part: subject, rivals: 2, at: quiet + 3*time.Second, granted: true},
		{name: "another schedule may have granted one", start: quiet - time.Second, part: subject, at: quiet},
		{name: "while another one of the part runs", run: func(s *Schedule, r *crashcause.Register) {
			s.Grant(at(quiet-time.Second), Query{Part: subject}, r)
		}, part: subject, at: quiet},
		{name: "after one without a result", run: func(s *Schedule, r *crashcause.Register) {
			s.Grant(at(quiet-2*time.Second), Query{Part: subject}, r)
		}, part: subject, at: quiet, granted: true},
		{name: "beside one of another part", run: func(s *Schedule, r *crashcause.Register) {
			s.Grant(at(quiet-time.Second), Query{Part: subject}, r)
		}, part: subject2, at: quiet, granted: true},
		{name: "not beside one that probably crashes its engine", run: func(s *Schedule, r *crashcause.Register) {
			assert.Assert(t, s.Grant(at(quiet+10*time.Second), Query{Part: deadly2}, r))
		}, part: subject, at: quiet + 10*time.Second + 500*time.Millisecond},
		{name: "after one that probably crashed its engine", run: func(s *Schedule, r *crashcause.Register) {
			assert.Assert(t, s.Grant(at(quiet+10*time.Second), Query{Part: deadly2}, r))
		}, part: subject, at: quiet + 12*time.Second, granted: true},
		{name: "one that probably crashes its engine, not beside another one", run: func(s *Schedule, r *crashcause.Register) {
			assert.Assert(t, s.Grant(at(quiet+10*time.Second), Query{Part: subject}, r))
		}, part: deadly2, at: quiet + 10*time.Second + 500*time.Millisecond},
		{name: "one that probably crashes its engine, not while another such one runs", run: func(s *Schedule, r *crashcause.Register) {
			assert.Assert(t, s.Grant(at(quiet+10*time.Second), Query{Part: deadly2}, r))
		}, part: subject, rivals: 2, at: quiet + 11500*time.Millisecond},
		{name: "after one that crashed with a deadly part", run: func(s *Schedule, r *crashcause.Register) {
			s.Grant(at(quiet), Query{Part: subject}, r)
			crash(r, 21, subject, deadly)
		}, part: subject, at: quiet + 3*time.Second, granted: true},
		{name: "not a third time", run: func(s *Schedule, r *crashcause.Register) {
			for i := range maxFailures {
				n := 20 + 10*i
				s.Grant(at(time.Duration(n)*time.Second), Query{Part: subject}, r)
				crash(r, n+1, subject, deadly)
			}
		}, part: subject, at: time.Hour},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, r := New(at(c.start)), blockedParts()
			if c.run != nil {
				c.run(s, r)
			}
			assert.Equal(t, s.Grant(at(c.at), Query{c.part, c.rivals, cmp.Or(c.engines, 12)}, r), c.granted)
		})
	}
}

// Guards against trials of deadly parts before those of harmless ones: while the parts in front of it explain its crashes, too, a deadly part
// looks as harmless as they do (soak seed 34).
func TestAPartBehindAllOthersIsTriedLater(t *testing.T) {
	r := crashcause.New(0)
	for n, ids := range [][]crashcause.PartID{{subject, deadly}, {subject, deadly}, {subject, deadly}, {subject}} {
		crash(r, n, ids...)
	}
	const lastCrash = 3 * time.Second
	cause, _ := r.Check(at(lastCrash), []crashcause.PartID{deadly})
	assert.Assert(t, cause.Doubtful && cause.OwnCrashes == 0)
	query := Query{Part: deadly, Engines: 12}
	assert.Assert(t, !New(0).Grant(at(lastCrash+time.Second), query, r))
	assert.Assert(t, New(0).Grant(at(lastCrash+quietTime+doubtTime), query, r))
}

// Guards against more than one crash for the sake of a part that is probably deadly and only hides others.
func TestAPartThatHidesOthersIsTriedOnce(t *testing.T) {
	s, r := New(0), crashcause.New(0)
	for n, ids := range [][]crashcause.PartID{{subject}, {subject, deadly}, {subject, deadly}, {subject, deadly}} {
		crash(r, n, ids...)
	}
	query := Query{Part: subject, Engines: 12}
	assert.Assert(t, s.Grant(at(5*time.Second), query, r))
	crash(r, 6, subject)
	cause, _ := r.Check(at(time.Minute), []crashcause.PartID{subject})
	assert.Assert(t, cause.HidesOthers)
	assert.Assert(t, !s.Grant(at(time.Minute), query, r))
}

// Guards against trials that take down all engines of a small service together, and against parts that are freed too slowly on larger ones.
func TestTrialsAreBoundedByTheNumberOfEngines(t *testing.T) {
	for _, c := range []struct{ engines, granted uint }{{0, 2}, {1, 2}, {3, 6}, {100, 8}} {
		r := crashcause.New(0)
		var ids []crashcause.PartID
		for i := range crashcause.PartID(20) {
			ids = append(ids, 100+i)
		}
		for n := range crashcause.CrashesNeeded {
			crash(r, n, ids...)
		}
		r.Merge(at(5*time.Second), []crashcause.Notice{{Parts: partsOf(ids...), Blocked: true}})
		s, granted := New(0), uint(0)
		for _, id := range ids {
			if s.Grant(at(10*time.Second), Query{Part: id, Engines: c.engines}, r) {
				granted++
			}
		}
		assert.Equal(t, granted, c.granted, "%d engines", c.engines)
	}
}
