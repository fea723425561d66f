package room

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Guards against limits that let less urgent requests in where urgent ones are refused, and against requests that are sent to wait for
// memory.
func TestRequestsAreAdmittedByClass(t *testing.T) {
	objectives := []time.Duration{500 * ms, 1500 * ms}
	cases := []struct {
		name     string
		request  Request
		admitted bool
		until    time.Duration
	}{
		{name: "urgent, short wait", request: Request{Objectives: objectives[:1], Waits: []time.Duration{290 * ms}}, admitted: true},
		{name: "urgent, long wait", request: Request{Objectives: objectives[:1], Waits: []time.Duration{310 * ms}}, until: 10 * ms},
		{name: "patient, wait too long for urgent ones", request: Request{Objectives: objectives, Waits: []time.Duration{0, 890 * ms}}, admitted: true},
		{name: "patient, long wait", request: Request{Objectives: objectives, Waits: []time.Duration{0, 1000 * ms}}, until: 100 * ms},
		{name: "patient, half kept", request: Request{Objectives: objectives, Waits: []time.Duration{0, 500 * ms}, Kept: Kept{Share: 0.5}}, until: 100 * ms},
		{name: "patient, urgent ones nearly refused", request: Request{Objectives: objectives, Waits: []time.Duration{280 * ms, 300 * ms}, Kept: Kept{Share: 0.1}}, until: 11_111_111},
		{name: "no memory", request: Request{Objectives: objectives, Waits: []time.Duration{0, 50 * ms}, MemoryWait: 50 * ms}, until: 50 * ms},
		{name: "shorter objective of the route", request: Request{Objectives: objectives, Waits: []time.Duration{0, 500 * ms}, Objective: 600 * ms}, until: 140 * ms},
		{name: "returned", request: Request{Objectives: objectives, Waits: []time.Duration{0, 1000 * ms}, Returned: true, Queue: Queue{ClosedFor: 70 * ms}}, admitted: true},
		{name: "new after a returned one was refused", request: Request{Objectives: objectives, Waits: []time.Duration{0, 100 * ms}, Queue: Queue{ClosedFor: 70 * ms}}, until: 70 * ms},
		{
			name: "others return first", request: Request{Objectives: objectives, Waits: []time.Duration{0, 500 * ms}, Kept: Kept{Share: 0.5}, Queue: Queue{Returning: 40 * ms}},
			until: 180 * ms,
		},
		{name: "no objective", request: Request{Objectives: []time.Duration{0}, Waits: []time.Duration{time.Hour}}, admitted: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := Decide(c.request)
			assert.Equal(t, d.Admitted, c.admitted)
			assert.Equal(t, d.Until, c.until)
		})
	}
}

// Guards against a less urgent request that is admitted where a more urgent one is refused.
func TestLessUrgentRequestsAreRefusedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wait := func(name string) time.Duration { return time.Duration(rapid.IntRange(0, 2000).Draw(t, name)) * ms }
		urgentWait, share := wait("urgent"), rapid.Float64Range(0, 1).Draw(t, "share")
		objectives := []time.Duration{500 * ms, 1500 * ms}
		urgent := Decide(Request{Objectives: objectives[:1], Waits: []time.Duration{urgentWait}})
		patient := Decide(Request{Objectives: objectives, Waits: []time.Duration{urgentWait, urgentWait + wait("patient")}, Kept: Kept{Share: share}})
		assert.Assert(t, urgent.Admitted || !patient.Admitted)
		assert.Equal(t, patient.Until == 0, patient.Admitted)
	})
}
