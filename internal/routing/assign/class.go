package assign

import (
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// MaxClasses is the largest number of classes of urgency into which the requests for a service are divided. Further, less urgent ones
// count as the last class. Each class takes a few bytes per endpoint in messages.
const MaxClasses = 4

// Class is the urgency of a request among those for its service. 0 is the most urgent.
type Class int

// ClassOf returns the class of a priority, and the number of classes, among the given priorities in ascending order. A service with one
// priority has one class.
func ClassOf(priority int, priorities []int) (class Class, classes int) {
	for class < Class(min(len(priorities), MaxClasses)-1) && priority > priorities[class] {
		class++
	}
	return class, max(1, min(len(priorities), MaxClasses))
}

// ClassLoad is the part of a load that belongs to requests that are at least as urgent as a class.
type ClassLoad struct {
	Requests       int
	Tokens         unit.Tokens
	PendingPrefill unit.Tokens
}

// UrgentLoads holds a ClassLoad for each class but the last one, which has the whole load.
type UrgentLoads [MaxClasses - 1]ClassLoad

func (u UrgentLoads) add(other UrgentLoads) UrgentLoads {
	for i, o := range other {
		u[i].Requests += o.Requests
		u[i].Tokens += o.Tokens
		u[i].PendingPrefill += o.PendingPrefill
	}
	return u
}

func (u UrgentLoads) sub(other UrgentLoads) UrgentLoads {
	for i, o := range other {
		u[i] = ClassLoad{max(0, u[i].Requests-o.Requests), max(0, u[i].Tokens-o.Tokens), max(0, u[i].PendingPrefill-o.PendingPrefill)}
	}
	return u
}

// ownClasses returns the number of classes with loads of their own at least as urgent as the request.
func (w *Request) ownClasses() int {
	if !w.HasPrompt || w.Classes < 2 {
		return 0
	}
	return min(int(w.Class)+1, min(w.Classes, MaxClasses)-1)
}

// whole returns the load of all requests, which is that of the last class.
func (l Load) whole() ClassLoad {
	return ClassLoad{l.Requests, l.Tokens, l.PendingPrefill}
}

// ahead returns the load that the request competes with at an endpoint. Engines read more urgent prompts first, and preempt less urgent
// requests for their memory and slots.
func (l Load) ahead(w *Request) ClassLoad {
	return l.upTo(w, w.Class)
}

// upTo returns the load of the requests that are at least as urgent as a class that isn't less urgent than the request.
func (l Load) upTo(w *Request, class Class) ClassLoad {
	if int(class) < w.ownClasses() {
		return l.Urgent[class]
	}
	return l.whole()
}

// AllUrgent returns the load as if all its requests were in the most urgent class. It is used for loads of hosts that don't tell how urgent
// their requests are.
func (l Load) AllUrgent() Load {
	for class := range l.Urgent {
		l.Urgent[class] = l.whole()
	}
	return l
}

// setUrgent counts the load for all classes that wait for the request.
func (l *Load) setUrgent(w *Request) {
	if w.Classes < 2 {
		return
	}
	for class := int(w.Class); class < len(l.Urgent); class++ {
		l.Urgent[class] = l.whole()
	}
}

// serviceClass identifies what is learned about a class of requests for a service.
type serviceClass struct {
	service table.ServiceName
	class   Class
}

// statKey returns the key of what is learned from the request. Less urgent requests wait for more than their estimate counts, which must
// not raise the estimates of urgent ones.
func (w *Request) statKey() serviceClass {
	if w.Classes < 2 {
		return serviceClass{service: w.Service}
	}
	return serviceClass{w.Service, w.Class}
}
