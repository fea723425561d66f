package forward

import (
	"github.com/citronglade/citronglade/internal/admission/usage"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// takeUsage counts the request against its customer's limit. It fails with fault.OverLimit. The host that got a relayed request from its caller
// has counted it already.
func (r *request) takeUsage() error {
	if r.customer == nil || r.customer.Limit == nil || !r.customer.Limit.InForce() || r.call.Relayed != nil {
		return nil
	}
	limit := *r.customer.Limit
	cost := limit.Cost(r.statedTokens())
	now := r.h.Now()
	var d usage.Decision
	r.h.WithUsage(func(m *usage.Meter) { d = m.Take(now, r.customer.Name, limit, cost) })
	if d.Admitted {
		if !d.OwnShare {
			r.usageCost = cost
		}
		return nil
	}
	r.usageRefusal = &usageRefusal{Decision: d, cost: cost, capacity: limit.Capacity()}
	r.h.Meter.CountRefusal(r.customer.Name, d.OwnShare)
	return fault.OverLimit.New("customer %s has reached its limit", r.customer.Name).WithProperty(fault.RetryAfter, d.RetryAfter)
}

// usageRefusal is a refusal by a limit with the values on which it was decided.
type usageRefusal struct {
	usage.Decision
	cost, capacity float64
}

func (u *usageRefusal) attributes() []any {
	return []any{"cost", u.cost, "level", u.Level, "capacity", u.capacity, "level-age-ms", u.Age.Milliseconds(), "own-share", u.OwnShare}
}

// statedTokens returns the tokens that the request states for its prompt and its answer, negative if it states none. A prompt counts at least as many
// tokens as its parts, so that a caller can't have parts computed that its count leaves out.
func (r *request) statedTokens() float64 {
	if r.call.Stated == nil {
		return -1
	}
	prompt := float64(r.call.Stated.Prompt)
	if r.call.Prompt != nil {
		parts := 0.0 // a sum of integers could overflow
		for _, part := range r.call.Prompt.Parts {
			parts += float64(part.Tokens)
		}
		prompt = max(prompt, parts)
	}
	return prompt + float64(r.call.Stated.Output)
}

// returnUsage takes back what takeUsage counted, because no endpoint has run the request.
func (r *request) returnUsage() {
	if r.usageCost == 0 || r.possibleRuns > 0 {
		return
	}
	now := r.h.Now()
	r.h.WithUsage(func(m *usage.Meter) { m.GiveBack(now, r.customer.Name, r.usageCost) })
	r.usageCost = 0
	r.h.Meter.CountReturn(r.customer.Name)
}

// WithUsage calls use with the meter of the customers' limits, while it holds the meter's lock.
func (h *Handler) WithUsage(use func(*usage.Meter)) {
	h.usageMu.Lock()
	defer h.usageMu.Unlock()
	use(h.usage)
}
