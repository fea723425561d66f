package assign

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Guards against priorities that are put into a wrong class, and against classes in a service with one priority.
func TestPrioritiesAreDividedIntoClasses(t *testing.T) {
	cases := []struct {
		name       string
		priority   int
		priorities []int
		class      Class
		classes    int
	}{
		{name: "no stream routes", priority: 5, classes: 1},
		{name: "one priority", priority: 5, priorities: []int{5}, classes: 1},
		{name: "urgent", priority: 1, priorities: []int{1, 5}, classes: 2},
		{name: "more urgent customer", priority: 0, priorities: []int{1, 5}, classes: 2},
		{name: "patient", priority: 5, priorities: []int{1, 5}, class: 1, classes: 2},
		{name: "less urgent customer", priority: 9, priorities: []int{1, 5}, class: 1, classes: 2},
		{name: "more priorities than classes", priority: 6, priorities: []int{1, 2, 3, 4, 5, 6}, class: 3, classes: 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			class, classes := ClassOf(c.priority, c.priorities)
			assert.Equal(t, class, c.class)
			assert.Equal(t, classes, c.classes)
		})
	}
}

// Guards against urgent requests that wait, by the estimate, for prompts that engines read after theirs.
func TestUrgentRequestsWaitForUrgentPromptsOnly(t *testing.T) {
	a := newAssignerWith(endpoint("a", 1, at(0)))
	patient, urgent := newPromptWork("p", "1"), newPromptWork("u", "2")
	patient.Class, patient.Classes, urgent.Classes = 1, 2, 2
	begin := func(w *Request) *Attempt {
		choice, ok := a.Choose(at(10), w, nil)
		assert.Assert(t, ok)
		return a.Begin(at(10), w, choice)
	}
	queueTime := func(w *Request) int64 {
		choice, _ := a.Choose(at(10), w, nil)
		return choice.QueueTime.Milliseconds()
	}
	flight := begin(patient)
	assert.Equal(t, queueTime(urgent), int64(0))
	assert.Assert(t, queueTime(patient) > 0)
	begin(urgent)
	assert.Assert(t, queueTime(urgent) > 0)
	assert.Assert(t, queueTime(patient) > queueTime(urgent))
	a.Began(at(20), flight)
	a.End(at(30), flight, EndedComplete)
	own := a.OwnLoads(at(30))[unit.EndpointID("a")]
	assert.Equal(t, own.Urgent[0], own.whole(), "only the urgent request is left")
}

// Guards against patient requests that take the memory that urgent ones need, and against a decision by class in a service with one class.
func TestMemoryCountsForAdmission(t *testing.T) {
	a := newAssignerWith(endpoint("a", 1, at(0))) // memory for 11 prompts
	patient := newPromptWork("p", "1")
	patient.Class, patient.Classes, patient.Objectives = 1, 2, []time.Duration{time.Minute, time.Minute}
	patient.Objective = time.Minute
	urgent := newPromptWork("p", "1")
	urgent.Classes, urgent.Objectives, urgent.Objective = 2, patient.Objectives, time.Minute
	admitted := func(w *Request) bool {
		choice, ok := a.Choose(at(10), w, nil)
		assert.Assert(t, ok)
		return choice.Room.Admitted
	}
	for range 11 {
		assert.Assert(t, admitted(patient))
		choice, _ := a.Choose(at(10), patient, nil)
		a.Begin(at(10), patient, choice)
	}
	assert.Assert(t, !admitted(patient))
	assert.Assert(t, admitted(urgent))
	choice, _ := a.Choose(at(10), newPromptWork("p", "1"), nil)
	assert.Assert(t, choice.Room == nil)
}

// Guards against refused callers that are all told to return at the time when there is room for one of them.
func TestRefusedCallersAreToldToReturnOneAfterTheOther(t *testing.T) {
	a := newAssignerWith(endpoint("a", 1, at(0)))
	patient := newPromptWork("p", "1")
	patient.Class, patient.Classes, patient.Objectives = 1, 2, []time.Duration{500 * time.Millisecond, 500 * time.Millisecond}
	until := time.Duration(0)
	for range 30 {
		choice, ok := a.Choose(at(10), patient, nil)
		assert.Assert(t, ok)
		if choice.Admits(patient) {
			assert.Equal(t, until, time.Duration(0), "one is admitted after a refusal")
			a.Begin(at(10), patient, choice)
			continue
		}
		assert.Assert(t, choice.ExcessWait(patient) > until)
		until = choice.ExcessWait(patient)
	}
	assert.Assert(t, until > 0)
	returned := *patient
	returned.PreviouslyRefused = true
	choice, _ := a.Choose(at(10), &returned, nil)
	assert.Assert(t, choice.ExcessWait(&returned) < until)
}
