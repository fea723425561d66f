// Package shape generates the workloads of both deployments: which customers send which requests, which prompt prefixes
// they share, and how the popularity of the prefixes changes. The same seed always gives the same workload.
package shape

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// Customer describes the requests of one customer.
type Customer struct {
	ID unit.CustomerID
	// Share is the customer's fraction of all requests. The shares of all customers of a shape add up to 1.
	Share float64
	// Subjects is the number of profiles or lots that the customer's requests are about.
	Subjects int
}

// Call is one kind of request.
type Call struct {
	Name  string
	Class unit.ClassName // class that the sheet assigns to the call
	Share float64        // fraction of all requests; the shares of all calls of a shape add up to 1
	Path  string
	// OnceOnly calls carry an idempotency key.
	OnceOnly bool
	// Model calls carry a prompt and go to an engine; other calls go to the service. Chat calls send the prompt as messages.
	Model, Chat bool
}

// Shape is one deployment's workload.
type Shape struct {
	Name, Model, Service string
	Sheet                string // file under test/sheets
	Replicas, Services   int
	DataCentres          []string
	Customers            []Customer
	Calls                []Call

	// PreambleTokens is the length of the prefix that all prompts of a customer share. After it come a subject of
	// SubjectTokens to twice that, and a question of QuestionTokens to three times that.
	PreambleTokens, SubjectTokens, QuestionTokens unit.Tokens
	AnswerTokens                                  int
	// Deadline is the longest time to the first token that the sheet allows for the urgent class.
	Deadline time.Duration
	// Skew is the exponent of the Zipf distribution over a customer's subjects, above 1.
	Skew float64
	// Hour is the interval at which the popularity order of the subjects changes. Measurements set it shorter than an hour.
	Hour time.Duration
}

// Shapes lists the workloads of both deployments. Sizes come from the design page; prompt lengths are assumptions.
var Shapes = []Shape{
	{
		Name: "taalmaatjes", Model: "taalmodel", Service: "koppel-app", Sheet: "taalmaatjes.csv", Replicas: 18, Services: 3,
		DataCentres: []string{"nlw-a", "nlw-b", "nlw-c"},
		Customers: []Customer{
			{"utrecht", 0.40, 60},
			{"rotterdam", 0.26, 40},
			{"tilburg", 0.09, 12},
			{"groningen", 0.06, 12},
			{"zwolle", 0.06, 12},
			{"leiden", 0.05, 10},
			{"breda", 0.05, 10},
			{"assen", 0.03, 8},
		},
		Calls: []Call{
			{Name: "match", Class: "urgent", Share: 0.62, Path: "/v1/chat/completions", Model: true, Chat: true},
			{Name: "greeter-draft", Class: "deferrable", Share: 0.28, Path: "/v1/completions", Model: true},
			{Name: "schedule", Class: "standard", Share: 0.06, Path: "/service/koppel-app/schedule"},
			{Name: "confirm", Class: "urgent", Share: 0.04, Path: "/service/koppel-app/confirm", OnceOnly: true},
		},
		PreambleTokens: 6_000, SubjectTokens: 2_300, QuestionTokens: 60, AnswerTokens: 12, Skew: 1.1, Hour: time.Hour, Deadline: 2500 * time.Millisecond,
	},
	{
		Name: "norrmark", Model: "stave-llm", Service: "yard-app", Sheet: "norrmark.csv", Replicas: 9, Services: 4,
		DataCentres: []string{"umea-a", "umea-b", "lulea-a", "sundsvall-a"},
		Customers: []Customer{
			{"kalmar", 0.40, 40},
			{"bergslagen", 0.28, 30},
			{"skelleftea", 0.08, 10},
			{"ornskoldsvik", 0.08, 10},
			{"harnosand", 0.05, 8},
			{"boden", 0.05, 8},
			{"kiruna", 0.03, 6},
			{"pitea", 0.03, 6},
		},
		Calls: []Call{
			{Name: "appraisal", Class: "urgent", Share: 0.60, Path: "/v1/chat/completions", Model: true, Chat: true},
			{Name: "lot-description", Class: "deferrable", Share: 0.30, Path: "/v1/completions", Model: true},
			{Name: "stock", Class: "standard", Share: 0.06, Path: "/service/yard-app/stock"},
			{Name: "reserve", Class: "urgent", Share: 0.04, Path: "/service/yard-app/reserve", OnceOnly: true},
		},
		PreambleTokens: 20_000, SubjectTokens: 1_500, QuestionTokens: 60, AnswerTokens: 12, Skew: 1.6, Hour: time.Hour, Deadline: 2500 * time.Millisecond,
	},
}

// Find returns the shape with this name. It fails with fault.BadSetting.
func Find(name string) (Shape, error) {
	for _, s := range Shapes {
		if s.Name == name {
			return s, nil
		}
	}
	return Shape{}, fault.BadSetting.New("no shape is named %q", name)
}
