package shape

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/prefix"
)

// preambleNumber is the number under which the text of a customer's preamble is generated. Subjects have numbers from 0.
const preambleNumber = -1

// Text holds the sizes by which prompts are split into tokens and pieces. They must equal the settings of the entry hosts.
type Text struct {
	BytesPerToken int
	PieceTokens   unit.Tokens
}

// Request is one request of the workload.
type Request struct {
	Number   int
	At       time.Duration // since the start of the workload
	Customer unit.CustomerID
	Call     Call
	Key      string // idempotency key, for once-only calls
	Body     []byte
	Messages []Message
	Seed     int64
	// PromptTokens is the length of the prompt. NewTokens is the number of its tokens that no cache can hold: those of the
	// last, partial piece and those of pieces that no earlier request of the workload contained.
	PromptTokens, NewTokens unit.Tokens
	AnswerTokens            int
	// Poisoned is set if a message of the prompt crashes engines, see Workload.AddPoison.
	Poisoned bool
}

// Message is one part of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Workload generates the requests of one shape and seed. It isn't safe for concurrent use.
type Workload struct {
	shape  Shape
	text   Text
	rate   float64
	random *rand.Rand
	seed   uint64
	number int
	at     time.Duration
	texts  map[string]string
	zipf   map[unit.CustomerID]*rand.Zipf
	seen   map[unit.Digest]bool

	rampFactor float64
	rampUntil  time.Duration

	poisonText   string
	poisonShare  float64
	poisonRandom *rand.Rand // apart from random, so that the other requests stay the same
}

// New returns a workload of rate requests/s on average, with exponentially distributed times between requests.
func New(s Shape, seed uint64, rate float64, text Text) *Workload {
	w := &Workload{
		shape: s, text: text, rate: rate, random: rand.New(rand.NewPCG(seed, 0x5eed)), seed: seed,
		texts: map[string]string{}, zipf: map[unit.CustomerID]*rand.Zipf{}, seen: map[unit.Digest]bool{},
	}
	for _, c := range s.Customers {
		w.zipf[c.ID] = rand.NewZipf(w.random, s.Skew, 1, uint64(c.Subjects-1))
	}
	return w
}

// Ramp multiplies the rate by factor until the given time since the start, so that no backlog builds up while the caches are
// still cold.
func (w *Workload) Ramp(factor float64, until time.Duration) {
	w.rampFactor, w.rampUntil = factor, until
}

// AddPoison adds a message with the given text, between messages that other requests share and the question, to a share of the chat
// requests. Emulated engines whose poison marker is in the text crash under them.
func (w *Workload) AddPoison(text string, share float64) {
	w.poisonText, w.poisonShare, w.poisonRandom = text, share, rand.New(rand.NewPCG(w.seed, 0xdead))
}

// Next returns the next request. It fails with fault.Internal if the body can't be encoded.
func (w *Workload) Next() (Request, error) {
	rate := w.rate
	if w.at < w.rampUntil {
		rate *= w.rampFactor
	}
	w.at += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	w.number++
	r := Request{Number: w.number, At: w.at, Seed: int64(w.number), AnswerTokens: w.shape.AnswerTokens}
	customer := w.drawCustomer()
	r.Customer = customer.ID
	r.Call = w.drawCall()
	if r.Call.OnceOnly {
		r.Key = fmt.Sprintf("%s-%d-%d", w.shape.Name, w.seed, w.number)
	}
	var body any
	if r.Call.Model {
		body = w.prompt(&r, customer)
	} else {
		body = map[string]int{"number": w.number}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return r, fault.Internal.Wrap(err, "cannot encode a request")
	}
	r.Body = data
	return r, nil
}

// completion is the body of a model request.
type completion struct {
	Model         string          `json:"model"`
	Messages      []Message       `json:"messages,omitempty"`
	Prompt        []string        `json:"prompt,omitempty"`
	Stream        bool            `json:"stream"`
	StreamOptions map[string]bool `json:"stream_options"`
	MaxTokens     int             `json:"max_tokens"`
	Seed          int64           `json:"seed"`
}

func (w *Workload) prompt(r *Request, customer Customer) completion {
	subject := w.drawSubject(customer)
	r.Messages = []Message{
		{Role: "system", Content: w.generatedText(customer.ID, preambleNumber, w.shape.PreambleTokens)},
		{Role: "user", Content: w.generatedText(customer.ID, subject, w.subjectTokens(customer.ID, subject))},
		{Role: "user", Content: w.randomQuestion()},
	}
	if r.Call.Chat && w.poisonShare > 0 && w.poisonRandom.Float64() < w.poisonShare {
		r.Poisoned = true
		r.Messages = slices.Insert(r.Messages, len(r.Messages)-1, Message{Role: "user", Content: w.poisonText})
	}
	texts := make([]string, 0, len(r.Messages))
	for _, m := range r.Messages {
		texts = append(texts, m.Role+": "+m.Content)
	}
	w.countTokens(r, texts)
	c := completion{
		Model: w.shape.Model, Stream: true, StreamOptions: map[string]bool{"include_usage": true},
		MaxTokens: r.AnswerTokens, Seed: r.Seed,
	}
	if r.Call.Chat {
		c.Messages = r.Messages
	} else {
		// The applications of the deployments send the same texts on both paths, so that chat and completion requests share
		// prefixes.
		c.Prompt = texts
		r.Messages = []Message{{Content: strings.Join(texts, "")}}
	}
	return c
}

// countTokens sets PromptTokens and NewTokens of the request and remembers the pieces of its prompt.
func (w *Workload) countTokens(r *Request, texts []string) {
	c := prefix.New(prefix.Prompt{Customer: r.Customer, Messages: texts}, w.text.PieceTokens, w.text.BytesPerToken)
	r.PromptTokens = c.Tokens
	r.NewTokens = c.Tokens - c.PrefixTokens(len(c.Digests))
	for _, d := range c.Digests {
		if !w.seen[d] {
			w.seen[d] = true
			r.NewTokens += c.PieceTokens
		}
	}
}

func (w *Workload) drawCustomer() Customer {
	draw := w.random.Float64()
	for _, c := range w.shape.Customers {
		if draw -= c.Share; draw < 0 {
			return c
		}
	}
	return w.shape.Customers[0]
}

func (w *Workload) drawCall() Call {
	draw := w.random.Float64()
	for _, c := range w.shape.Calls {
		if draw -= c.Share; draw < 0 {
			return c
		}
	}
	return w.shape.Calls[0]
}

// drawSubject draws the number of a subject by popularity. The order of popularity differs from one Shape.Hour to the next.
func (w *Workload) drawSubject(c Customer) int {
	rank := int(w.zipf[c.ID].Uint64())
	hour := uint64(w.at / w.shape.Hour)
	order := rand.New(rand.NewPCG(w.seed, hashNumber(c.ID, int(hour)))).Perm(c.Subjects)
	return order[rank]
}

func (w *Workload) subjectTokens(customer unit.CustomerID, subject int) unit.Tokens {
	return w.shape.SubjectTokens + unit.Tokens(hashNumber(customer, subject)%uint64(w.shape.SubjectTokens))
}

func (w *Workload) randomQuestion() string {
	tokens := w.shape.QuestionTokens + unit.Tokens(w.random.Int64N(2*int64(w.shape.QuestionTokens)))
	return w.randomWords(w.random, tokens)
}

// generatedText returns the text of a preamble or subject. It depends only on the customer, the number and the seed, so all
// requests of the workload share it.
func (w *Workload) generatedText(customer unit.CustomerID, number int, tokens unit.Tokens) string {
	key := fmt.Sprintf("%s %d", customer, number)
	text, ok := w.texts[key]
	if !ok {
		text = w.randomWords(rand.New(rand.NewPCG(w.seed, hashNumber(customer, number))), tokens)
		w.texts[key] = text
	}
	return text
}

var vocabulary = strings.Fields(`learner volunteer table evening grammar beginner stave oak barrel lot grain cooper hoop
	vat price street market weather family work letter question answer garden bicycle harbour winter summer`)

func (w *Workload) randomWords(random *rand.Rand, tokens unit.Tokens) string {
	length := int(tokens) * w.text.BytesPerToken
	var text strings.Builder
	for text.Len() < length {
		text.WriteString(vocabulary[random.IntN(len(vocabulary))])
		text.WriteByte(' ')
	}
	return text.String()[:length]
}

func hashNumber(customer unit.CustomerID, number int) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %d", customer, number)
	return h.Sum64()
}
