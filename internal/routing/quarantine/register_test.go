package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/unit"
)

var content = unit.Digest{1}

func crashOf(content unit.Digest, endpoint string, incarnation unit.Incarnation) Notice {
	return Notice{Content: content, Endpoint: unit.EndpointID(endpoint), Incarnation: incarnation}
}

func at(minutes float64) unit.Moment {
	return unit.Moment(minutes * float64(time.Minute))
}

func isQuarantined(r *Register, now unit.Moment) bool {
	_, quarantined := r.Check(now, content)
	return quarantined
}

// Guards against a request that crashes a third engine because each host saw only one crash: two hosts, in every
// combination, see the crashes and report them to a third.
func TestCrashesOfDifferentHostsAreCombined(t *testing.T) {
	for first := range 3 {
		for second := range 3 {
			hosts := []*Register{New(), New(), New()}
			assert.Assert(t, !hosts[first].RecordCrash(at(0), crashOf(content, "engine-1", 1)))
			hosts[second].RecordCrash(at(0.01), crashOf(content, "engine-2", 1))
			for range 2 {
				for i, h := range hosts {
					hosts[(i+1)%3].Merge(at(0.02), h.Export(at(0.02)))
				}
			}
			for i, h := range hosts {
				assert.Assert(t, isQuarantined(h, at(9.9)), "host %d after crashes on %d and %d", i, first, second)
				assert.Assert(t, !isQuarantined(h, at(10.1)), "host %d", i)
			}
		}
	}
}

// Guards against a quarantine after a single crash that several hosts saw or that one host reports twice.
func TestOneCrashIsCountedOnce(t *testing.T) {
	a, b := New(), New()
	assert.Assert(t, !a.RecordCrash(0, crashOf(content, "engine-1", 1)))
	assert.Assert(t, !a.RecordCrash(1, crashOf(content, "engine-1", 1)))
	b.RecordCrash(2, crashOf(content, "engine-1", 1))
	b.Merge(3, a.Export(3))
	assert.Assert(t, !isQuarantined(b, 4))
	assert.Assert(t, !b.RecordCrash(5, crashOf(unit.Digest{2}, "engine-2", 1)), "another content")
	assert.Assert(t, b.RecordCrash(5, crashOf(content, "engine-1", 2)), "another incarnation of the same endpoint")
	c := New()
	c.RecordCrash(at(0), crashOf(content, "engine-1", 1))
	assert.Assert(t, !c.RecordCrash(at(121), crashOf(content, "engine-2", 1)), "the first crash is forgotten")
}

// Guards against a repeated quarantine that isn't longer than the previous one, that exceeds two hours, or that is
// caused by requests that were already running when the previous one began.
func TestRepeatsDoubleTheDuration(t *testing.T) {
	r := New()
	r.RecordCrash(at(0), crashOf(content, "engine-0", 1))
	now, number := at(0), unit.Incarnation(2)
	for _, minutes := range []float64{10, 20, 40, 80, 120, 120} {
		assert.Assert(t, r.RecordCrash(now, crashOf(content, "engine-0", number)), "one more crash is enough")
		r.RecordCrash(now+1, crashOf(content, "engine-1", number))
		until, quarantined := r.Check(now, content)
		assert.Assert(t, quarantined)
		assert.Equal(t, until.Sub(now), time.Duration(minutes)*time.Minute)
		assert.Assert(t, !isQuarantined(r, until))
		now = until.Add(time.Minute)
		number++
	}
	late := New()
	late.RecordCrash(at(0), crashOf(content, "engine-1", 1))
	late.RecordCrash(at(1), crashOf(content, "engine-2", 1))
	late.Merge(at(12), []Notice{{Content: content, Endpoint: "engine-3", Incarnation: 1, Remaining: retention - 10*time.Minute}})
	assert.Assert(t, !isQuarantined(late, at(12)), "a crash during the quarantine that is reported after its end")
	late.Merge(at(13), []Notice{{Content: content, Round: 3, Remaining: time.Minute}})
	late.Merge(at(13), []Notice{{Content: content, Round: maxRound + 1, Remaining: retention}})
	assert.Assert(t, isQuarantined(late, at(13.5)) && !isQuarantined(late, at(14.1)))
}

// Guards against hosts that keep a quarantine alive by reporting it to each other, whatever the network delays.
func TestQuarantineEndsOnItsOwn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type message struct {
			to      int
			notices []Notice
		}
		hosts := []*Register{New(), New(), New()}
		hosts[0].RecordCrash(0, crashOf(content, "engine-1", 1))
		hosts[1].RecordCrash(0, crashOf(content, "engine-2", 1))
		delay := rapid.IntRange(0, 5).Draw(t, "delay")
		pending := map[int][]message{}
		for step := range 400 { // 5 s each
			now := unit.Moment(step) * unit.Moment(5*time.Second)
			for _, m := range pending[step] {
				hosts[m.to].Merge(now, m.notices)
			}
			for from, h := range hosts {
				to := rapid.IntRange(0, 2).Draw(t, "to")
				pending[step+delay+from] = append(pending[step+delay+from], message{to, h.Export(now)})
				limit := at(10) + unit.Moment(3*(delay+3))*unit.Moment(5*time.Second)
				assert.Assert(t, now < limit || !isQuarantined(h, now), "host %d in step %d", from, step)
			}
		}
	})
}

// Guards against unbounded memory and messages, against a flood of single crashes that evicts a quarantine, and against
// an old quarantine that is never sent to a new host.
func TestEntriesAndMessagesAreBounded(t *testing.T) {
	r := New()
	r.RecordCrash(0, crashOf(content, "engine-1", 1))
	r.RecordCrash(0, crashOf(content, "engine-2", 1))
	for i := range 2 * maxEntries {
		r.RecordCrash(unit.Moment(1+i), crashOf(unit.Digest{2, byte(i), byte(i >> 8)}, fmt.Sprint("engine-", i), 1))
	}
	assert.Equal(t, len(r.entries), maxEntries)
	assert.Assert(t, isQuarantined(r, 5000))
	fresh := New()
	for range 2 * maxEntries / (maxExport / 2) {
		notices := r.Export(6000)
		assert.Equal(t, len(notices), maxExport)
		fresh.Merge(6000, notices)
	}
	assert.Assert(t, isQuarantined(fresh, 6000))
	r.removeExpired(at(600))
	assert.Equal(t, len(r.entries), 0)
}

// Guards against contents that stay quarantined only because they were running when two endpoints crashed, whichever
// host sees their success and in whichever order the hosts learn of it.
func TestASuccessEndsTheSuspicion(t *testing.T) {
	cases := []struct {
		name        string
		run         func(here, there *Register)
		quarantined bool
	}{
		{name: "served between the crashes", run: func(here, _ *Register) {
			here.RecordCrash(at(0), crashOf(content, "engine-1", 1))
			here.RecordSuccess(at(1), content)
			here.RecordCrash(at(2), crashOf(content, "engine-2", 1))
		}},
		{name: "served after both", run: func(here, _ *Register) {
			here.RecordCrash(at(0), crashOf(content, "engine-1", 1))
			here.RecordCrash(at(1), crashOf(content, "engine-2", 1))
			here.RecordSuccess(at(2), content)
		}},
		{name: "served elsewhere between the crashes", run: func(here, there *Register) {
			here.RecordCrash(at(0), crashOf(content, "engine-1", 1))
			there.Merge(at(0), here.Since(at(0), 0).Notices)
			there.RecordSuccess(at(1), content)
			here.Merge(at(1), there.Since(at(1), 0).Notices)
			here.RecordCrash(at(2), crashOf(content, "engine-2", 1))
		}},
		{name: "served before both", quarantined: true, run: func(here, there *Register) {
			here.RecordCrash(at(0), crashOf(content, "engine-0", 1))
			here.RecordSuccess(at(1), content)
			here.RecordCrash(at(2), crashOf(content, "engine-1", 1))
			there.RecordCrash(at(2.1), crashOf(content, "engine-2", 1))
			here.Merge(at(2.1), there.Since(at(2.1), 0).Notices)
		}},
		{name: "another content is served", quarantined: true, run: func(here, _ *Register) {
			here.RecordCrash(at(0), crashOf(content, "engine-1", 1))
			here.RecordSuccess(at(1), unit.Digest{9})
			here.RecordCrash(at(2), crashOf(content, "engine-2", 1))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			here, there := New(), New()
			c.run(here, there)
			for range 3 {
				there.Merge(at(3), here.Since(at(3), 0).Notices)
				here.Merge(at(3), there.Since(at(3), 0).Notices)
			}
			assert.Equal(t, isQuarantined(here, at(3)), c.quarantined)
			assert.Equal(t, isQuarantined(there, at(3)), c.quarantined)
		})
	}
}

// Guards against hosts that report the same crash or success to each other forever, since each adds the transmission
// time of its message, and against a change that is never sent to a host because it didn't fit into a message.
func TestPeersStopTellingWhatTheyKnow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*Register{New(), New(), New()}
		contents := rapid.IntRange(1, 200).Draw(t, "contents")
		now := unit.Moment(0)
		for i := range contents {
			digest := unit.Digest{byte(i), byte(i >> 8), 1}
			hosts[rapid.IntRange(0, 2).Draw(t, "first")].RecordCrash(now, crashOf(digest, "engine-1", 1))
			hosts[rapid.IntRange(0, 2).Draw(t, "second")].RecordCrash(now, crashOf(digest, "engine-2", 1))
			if rapid.Bool().Draw(t, "served") {
				hosts[rapid.IntRange(0, 2).Draw(t, "third")].RecordSuccess(now.Add(time.Millisecond), digest)
			}
		}
		read := [3][3]uint64{}
		told := 0
		for range 40 {
			now = now.Add(50 * time.Millisecond)
			told = 0
			for from, sender := range hosts {
				for to, reader := range hosts {
					if from == to {
						continue
					}
					update := sender.Since(now, read[to][from])
					read[to][from] = update.Number
					told += len(update.Notices)
					reader.Merge(now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "delay"))*time.Millisecond), update.Notices)
				}
			}
		}
		assert.Equal(t, told, 0)
		for i := range contents {
			digest := unit.Digest{byte(i), byte(i >> 8), 1}
			_, first := hosts[0].Check(now, digest)
			for _, h := range hosts[1:] {
				_, other := h.Check(now, digest)
				assert.Equal(t, first, other, "content %d", i)
			}
		}
	})
}

// Guards against scanning all entries for each of the hundreds of hosts that ask several times a second and lack
// nothing.
func BenchmarkSinceWithoutChange(b *testing.B) {
	r := New()
	for i := range maxEntries {
		r.RecordCrash(0, crashOf(unit.Digest{byte(i), byte(i >> 8), 1}, "engine-1", 1))
	}
	for b.Loop() {
		r.Since(1, r.Number())
		r.Merge(1, nil)
	}
}
