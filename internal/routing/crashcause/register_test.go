package crashcause

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

func lifetime(n int) registry.Lifetime { return registry.Lifetime{Endpoint: "e", Born: int64(n)} }

func at(t time.Duration) unit.Moment { return unit.Moment(t) }

// prompt returns the parts of a prompt in order.
func prompt(ids ...PartID) []Part {
	var parts []Part
	for i, id := range ids {
		parts = append(parts, Part{ID: id, Position: uint8(i)})
	}
	return parts
}

const (
	first   PartID = 1
	subject PartID = 2
	deadly  PartID = 3
	other   PartID = 4
)

// Guards against blocking parts that didn't cause crashes, and against letting the one through that did.
func TestThePartThatExplainsTheCrashesIsBlocked(t *testing.T) {
	crashAt := func(r *Register, n int, when time.Duration, parts ...Part) {
		r.RecordCrash(at(when), lifetime(n), parts)
	}
	cases := []struct {
		name    string
		run     func(r *Register)
		blocked []PartID
	}{
		{name: "nothing happened", run: func(*Register) {}},
		{name: "two crashes may be a coincidence", run: func(r *Register) {
			crashAt(r, 1, 0, prompt(first, deadly)...)
			crashAt(r, 2, time.Second, prompt(first, deadly)...)
		}},
		{name: "the same lifetime counts once", run: func(r *Register) {
			for i := range 5 {
				crashAt(r, 1, time.Duration(i)*time.Second, prompt(first, deadly)...)
			}
		}},
		{name: "engines that go down together", run: func(r *Register) {
			for i := range 9 {
				crashAt(r, i, time.Duration(i)*10*time.Millisecond, prompt(first, subject)...)
			}
		}},
		{name: "the part behind those that it always follows", run: func(r *Register) {
			for i := range 3 {
				crashAt(r, i, time.Duration(i)*time.Second, prompt(first, subject, deadly)...)
			}
		}, blocked: []PartID{deadly}},
		{name: "not a part that stands in more crashes and was answered before", run: func(r *Register) {
			r.RecordServed(0, prompt(first, subject))
			for i := range 4 {
				crashAt(r, i, time.Duration(i+1)*time.Second, prompt(first, subject)...)
				if i > 0 {
					crashAt(r, i, time.Duration(i+1)*time.Second, prompt(first, subject, deadly)...)
				}
			}
		}, blocked: []PartID{deadly}},
		{name: "a part that was answered until now", run: func(r *Register) {
			r.RecordServed(0, prompt(first, deadly))
			for i := range 4 {
				crashAt(r, i, time.Duration(2*i+1)*time.Second, prompt(first, deadly)...)
				r.RecordServed(at(time.Duration(2*i+2)*time.Second), prompt(first))
			}
		}, blocked: []PartID{deadly}},
		{name: "many parts that were answered until all engines went down again and again", run: func(r *Register) {
			parts := prompt(first, subject, other, 5, 6, 7)
			r.RecordServed(0, parts)
			for i := range 9 {
				crashAt(r, i, time.Duration(i+1)*time.Second, parts...)
			}
			r.RecordServed(at(9500*time.Millisecond), prompt(first))
		}},
		{name: "the one of them that isn't answered when the others are again", run: func(r *Register) {
			parts := prompt(first, subject, other, 5, 6, 7)
			r.RecordServed(0, parts)
			for i := range 4 {
				crashAt(r, i, time.Duration(i+1)*time.Second, parts...)
			}
			r.RecordServed(at(9500*time.Millisecond), append(parts[:2:2], parts[3:]...))
		}, blocked: []PartID{other}},
		{name: "answers on older weights clear nothing", run: func(r *Register) {
			old, updated := prompt(deadly), prompt(deadly)
			updated[0].Weights = 2
			for i := range 3 {
				crashAt(r, i, time.Duration(2*i+1)*time.Second, updated...)
				r.RecordServed(at(time.Duration(2*i+2)*time.Second), old)
			}
		}, blocked: []PartID{deadly}},
		{name: "two deadly parts", run: func(r *Register) {
			for i := range 6 {
				crashAt(r, i, time.Duration(i)*time.Second, prompt(first, []PartID{deadly, other}[i%2])...)
				r.RecordServed(at(time.Duration(i)*time.Second+500*time.Millisecond), prompt(first))
			}
		}, blocked: []PartID{deadly, other}},
		{name: "a part that always came with another one, until a crash without it", run: func(r *Register) {
			for i := range 3 {
				crashAt(r, i, time.Duration(i)*time.Second, prompt(deadly, other)...)
			}
			crashAt(r, 3, 4*time.Second, prompt(deadly, subject)...)
		}, blocked: []PartID{deadly, other}},
		{name: "two deadly parts that crash engines together and alone", run: func(r *Register) {
			for i := range 4 {
				crashAt(r, i, time.Duration(i)*time.Second, prompt(first, deadly, other)...)
			}
			for i := 4; i < 8; i++ {
				crashAt(r, i, time.Duration(i)*time.Second, prompt(first, []PartID{deadly, other}[i%2])...)
			}
		}, blocked: []PartID{deadly, other}},
		{name: "a complete answer ends the block", run: func(r *Register) {
			for i := range 3 {
				crashAt(r, i, time.Duration(i)*time.Second, prompt(deadly)...)
			}
			r.RecordServed(at(5*time.Second), prompt(deadly))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New(0)
			c.run(r)
			var blocked []PartID
			for _, cause := range r.Causes(at(10 * time.Second)) {
				blocked = append(blocked, cause.Part)
			}
			assert.DeepEqual(t, blocked, c.blocked)
		})
	}
}

// Guards against a second attempt with a part that has crashed two engines, and against withholding it from requests that merely
// broke off with these engines.
func TestOnlyUnexplainedCrashesMakeAPartSuspect(t *testing.T) {
	r := New(0)
	r.RecordCrash(0, lifetime(0), prompt(first, deadly))
	assert.Assert(t, !r.Suspects([]PartID{first, deadly}))
	r.RecordCrash(at(time.Second), lifetime(1), prompt(first, deadly))
	assert.Assert(t, r.Suspects([]PartID{first, deadly}))
	r.RecordCrash(at(2*time.Second), lifetime(2), prompt(first, deadly))
	assert.Assert(t, !r.Suspects([]PartID{first}), "the other part explains the crashes")
}

// Guards against a second attempt of the request whose first attempt was the crash that blocked one of its parts.
func TestABlockedPartIsSuspectToo(t *testing.T) {
	r := New(0)
	for i := range CrashesNeeded {
		r.RecordCrash(at(time.Duration(i)*time.Second), lifetime(i), prompt(first, deadly))
	}
	assert.Assert(t, r.Suspects([]PartID{first, deadly}))
	again := at(2*time.Second + blockDuration)
	r.RecordCrash(again, lifetime(9), prompt(first, deadly))
	assert.Assert(t, r.Suspects([]PartID{deadly}), "after a block, one crash more suffices")
}

// Guards against letting a deadly part go when a notice shows that another part stood in more crashes, on this host and on those that hear of
// it.
func TestABlockedPartStaysBlockedWhenMoreIsKnownOfItsCrashes(t *testing.T) {
	r, now := New(0), at(10*time.Second)
	for i := range 3 {
		r.RecordCrash(at(time.Duration(i)*time.Second), lifetime(i), prompt(first, deadly))
	}
	_, blocked := r.Check(now, []PartID{deadly})
	assert.Assert(t, blocked)
	r.RecordCrash(0, lifetime(9), prompt(first, subject))
	for i := range 3 {
		r.RecordCrash(at(time.Duration(i)*time.Second), lifetime(i), prompt(first, subject))
	}
	_, blocked = r.Check(now, []PartID{deadly})
	assert.Assert(t, blocked)
	heard := New(0)
	heard.Merge(now, r.Export(now))
	assert.DeepEqual(t, heard.Causes(now), r.Causes(now))
	heard.RecordServed(now, prompt(first, subject, deadly))
	r.Merge(now, heard.Export(now))
	assert.Equal(t, len(r.Causes(now)), 0)
	for i := range 3 {
		r.RecordCrash(now.Add(time.Duration(i+1)*time.Second), lifetime(10+i), prompt(first, deadly, other))
	}
	_, blocked = r.Check(now.Add(4*time.Second), []PartID{deadly})
	assert.Assert(t, !blocked, "an answer ended the decision, so that the later part is blamed")
}

// Guards against harmless parts that stay blocked because they stood in the crashes of several deadly ones, and against doubt about a part
// that crashes engines by itself.
func TestABlockedPartIsDoubtfulWhileOthersExplainItsCrashes(t *testing.T) {
	const deadly2 = other
	cases := []struct {
		name     string
		crashes  [][]Part
		doubtful map[PartID]int // blocked parts, and the crashes that only they explain
		certain  map[PartID]int
	}{
		{name: "one deadly part", crashes: [][]Part{prompt(first, deadly), prompt(first, deadly), prompt(first, deadly)}, certain: map[PartID]int{deadly: 3}},
		{
			name: "a subject in the crashes of two deadly parts",
			crashes: [][]Part{
				prompt(subject, deadly), prompt(subject, deadly2), prompt(subject, deadly), prompt(first, deadly), prompt(first, deadly2), prompt(first, deadly2),
				prompt(first, deadly), prompt(first, deadly),
			},
			doubtful: map[PartID]int{subject: 0, deadly2: 2}, certain: map[PartID]int{deadly: 3},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New(0)
			for i, parts := range c.crashes {
				r.RecordCrash(at(time.Duration(2*i)*time.Second), lifetime(i), parts)
				r.RecordServed(at(time.Duration(2*i+1)*time.Second), prompt(first))
			}
			now := at(time.Minute)
			doubtful, certain := map[PartID]int{}, map[PartID]int{}
			for _, cause := range r.Causes(now) {
				if cause.Doubtful {
					doubtful[cause.Part] = cause.OwnCrashes
				} else {
					certain[cause.Part] = cause.OwnCrashes
				}
			}
			assert.Equal(t, fmt.Sprint(doubtful), fmt.Sprint(c.doubtful))
			assert.Equal(t, fmt.Sprint(certain), fmt.Sprint(c.certain))
			r.RecordServed(now, prompt(subject))
			for _, cause := range r.Causes(now) {
				assert.Assert(t, !cause.Doubtful, "once the subject is cleared, nothing else explains the crashes of part %d", cause.Part)
			}
		})
	}
}

// Guards against a harmless first part that is certainly blamed for crashes of another origin, too, so that requests with the deadly part
// behind it are refused for the wrong reason and nothing more is learned of either (soak seed 39).
func TestAPartIsDoubtfulThatHidesALaterOne(t *testing.T) {
	r := New(0)
	for i, parts := range [][]Part{prompt(first), prompt(first, deadly), prompt(first, deadly), prompt(first, deadly)} {
		r.RecordCrash(at(time.Duration(i)*time.Second), lifetime(i), parts)
	}
	now := at(10 * time.Second)
	cause, blocked := r.Check(now, []PartID{first})
	assert.Assert(t, blocked && cause.Doubtful && cause.HidesOthers)
	assert.Equal(t, cause.Rivals, 0)
	cause, _ = r.Check(now, []PartID{first, deadly})
	assert.Equal(t, cause.Rivals, 1)
	r.RecordServed(now, prompt(first))
	causes := r.Causes(now)
	assert.Equal(t, len(causes), 1)
	assert.Equal(t, causes[0].Part, deadly)
	assert.Assert(t, !causes[0].Doubtful && causes[0].Last)
}

// Guards against a part that is taken for the most likely cause, and tried last, although others of the same prompts stand behind it.
func TestOnlyThePartBehindAllOthersIsLast(t *testing.T) {
	r := New(0)
	for i := range 4 {
		r.RecordCrash(at(time.Duration(i)*time.Second), lifetime(i), prompt(first, subject, []PartID{deadly, other}[i%2]))
	}
	for i := range 3 {
		r.RecordCrash(at(time.Duration(10+i)*time.Second), lifetime(10+i), prompt(first, subject, deadly, other)[:2+i%2])
	}
	last := map[PartID]bool{}
	for _, c := range r.Causes(at(20 * time.Second)) {
		last[c.Part] = c.Last
	}
	assert.DeepEqual(t, last, map[PartID]bool{subject: false})
	r.RecordServed(at(20*time.Second), prompt(first, subject))
	assert.Assert(t, r.Causes(at(20 * time.Second))[0].Last)
}

// Guards against a trial of a request with two blocked parts, whose crash wouldn't tell which of them is deadly.
func TestARequestWithTwoBlockedPartsIsNotInDoubt(t *testing.T) {
	r := New(0)
	for i := range 4 {
		r.RecordCrash(at(time.Duration(i)*time.Second), lifetime(i), prompt(first, deadly, other))
	}
	r.RecordCrash(at(5*time.Second), lifetime(5), prompt(first, deadly))
	r.RecordCrash(at(6*time.Second), lifetime(6), prompt(first, other))
	now := at(7 * time.Second)
	cause, blocked := r.Check(now, []PartID{first, deadly, first, deadly})
	assert.Assert(t, blocked && cause.Doubtful)
	cause, blocked = r.Check(now, []PartID{first, deadly, other})
	assert.Assert(t, blocked && !cause.Doubtful)
}

// Guards against hosts that block different parts although they know of the same events, and against a host that learns that a part
// crashes engines and doesn't say that it has answered requests with it.
func TestHostsWithTheSameNoticesBlockTheSameParts(t *testing.T) {
	for seed := range 50 {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		hosts := []*Register{New(0), New(0), New(0)}
		for i := range 40 {
			now := at(time.Duration(i) * 300 * time.Millisecond)
			h := hosts[random.IntN(len(hosts))]
			parts := prompt(PartID(random.IntN(2)), 10+PartID(random.IntN(3)), 20+PartID(random.IntN(4)))
			if random.IntN(3) == 0 {
				h.RecordServed(now, parts[:random.IntN(3)])
			} else {
				h.RecordCrash(now, lifetime(random.IntN(20)), parts)
			}
		}
		end := at(15 * time.Second)
		for range 2 { // a host answers notices of crashes with what it has answered
			for _, from := range hosts {
				for _, to := range hosts {
					to.Merge(end, from.Export(end))
				}
			}
		}
		for _, h := range hosts[1:] {
			assert.DeepEqual(t, h.Causes(end), hosts[0].Causes(end))
		}
	}
}

// Guards against a host that blocks a harmless part because it heard of an answer before it heard of the crash that the answer speaks to:
// further parts of a crash are told after answers that were known before.
func TestAnAnswerCountsThatIsHeardBeforeItsCrash(t *testing.T) {
	r := New(0)
	r.RecordServed(0, prompt(first))
	for i := range 4 {
		when := at(time.Duration(i+1) * time.Second)
		r.RecordCrash(when, lifetime(i), prompt(first))
		r.RecordCrash(when, lifetime(i), prompt(first, []PartID{other, deadly}[min(i, 1)]))
	}
	now := at(6 * time.Second)
	reader := New(0)
	for number := uint64(0); number < r.Number(); { // as in several messages
		update := r.Since(now, number)
		reader.Merge(now, update.Notices[:1])
		number = r.numberOf(update.Notices[0])
	}
	assert.DeepEqual(t, reader.Causes(now), r.Causes(now))
	assert.Equal(t, reader.Causes(now)[0].Part, deadly)
}

// numberOf returns the number of the change that a notice tells of.
func (r *Register) numberOf(n Notice) uint64 {
	if c, ok := r.crashes[n.Lifetime]; ok {
		return c.lastChange.number
	}
	return r.served[n.Parts[0].ID].lastChange.number
}

// Guards against a block that is lost when all hosts restart, and against one that never ends.
func TestABlockOutlivesARestartAndEnds(t *testing.T) {
	r := New(0)
	for i := range 3 {
		r.RecordCrash(at(time.Duration(i)*time.Second), lifetime(i), prompt(first, deadly))
	}
	now := at(10 * time.Second)
	restarted := New(1)
	restarted.Merge(now, r.Export(now))
	_, blocked := restarted.Check(now, []PartID{first, deadly})
	assert.Assert(t, blocked)
	_, blocked = r.Check(at(2*time.Second+blockDuration), []PartID{deadly})
	assert.Assert(t, !blocked)
	_, blocked = restarted.Check(at(2*time.Second+blockDuration), []PartID{deadly})
	assert.Assert(t, blocked, "the other host waits for the first one's result")
	again := at(3*time.Second + blockDuration)
	r.RecordCrash(again, lifetime(9), prompt(first, deadly))
	_, blocked = r.Check(again, []PartID{deadly})
	assert.Assert(t, blocked, "one more crash suffices")
	r.Prune(again.Add(retention + 1))
	assert.Equal(t, len(r.Export(again)), 0)
}

// Guards against hosts that tell each other of every answer to requests with popular parts as long as a crash is remembered.
func TestOnlyAnswersThatClearAPartAreReported(t *testing.T) {
	r := New(0)
	r.RecordServed(0, prompt(first))
	r.RecordCrash(at(time.Second), lifetime(1), prompt(first, subject))
	number := r.Number()
	r.RecordServed(at(2*time.Second), prompt(first, other))
	assert.Equal(t, r.Number(), number+1)
	for i := range 100 {
		r.RecordServed(at(time.Duration(3+i)*time.Second), prompt(first, other))
	}
	assert.Equal(t, r.Number(), number+1)
	r.RecordCrash(at(200*time.Second), lifetime(2), prompt(first, subject))
	number = r.Number()
	r.RecordServed(at(201*time.Second), prompt(first))
	assert.Equal(t, r.Number(), number+1)
}

// Guards against unbounded memory and messages in a storm of crashes, and against forgetting the crashes under a blocked part in it.
func TestAStormOfCrashesIsBounded(t *testing.T) {
	r := New(0)
	for i := range 3 {
		r.RecordCrash(at(time.Duration(i)*time.Second), lifetime(i), prompt(first, deadly))
	}
	var many []Part
	for i := range 2 * maxParts {
		many = append(many, Part{ID: PartID(1000 + i)})
	}
	for i := range 2 * maxCrashes {
		r.RecordCrash(at(5*time.Second), lifetime(10+i), many)
	}
	assert.Assert(t, len(r.crashes) <= maxCrashes)
	_, blocked := r.Check(at(6*time.Second), []PartID{deadly})
	assert.Assert(t, blocked)
	parts := 0
	for _, n := range r.Since(at(6*time.Second), 0).Notices {
		parts += len(n.Parts)
	}
	assert.Assert(t, parts <= maxUpdateParts+maxParts, "%d parts", parts)
}
