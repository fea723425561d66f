package stream

import (
	"bytes"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// DefaultMaxDelivered limits the delivered text that is kept for resuming an answer, in bytes. The text is sent base64-encoded in
// a header, and headers are limited to 256 KiB.
const DefaultMaxDelivered = 160 << 10

// ResumePoint is the position from which a further attempt must continue an answer.
type ResumePoint struct {
	Token int    // index of the next token
	Text  []byte // text of all tokens before it
}

// Merger decides which chunks of the attempts at an answer are forwarded to the caller. It does no I/O and isn't safe for
// concurrent use.
type Merger struct {
	maxDelivered int
	attempt      int
	text         []byte
	ends         []int // ends[i] is the offset in text at which token i ends
	forwarded    bool
	finished     bool
	opaque       bool
	overflowed   bool
}

// New returns a merger that keeps at most maxDelivered bytes of text for resuming; longer answers can't be resumed. 0 means
// DefaultMaxDelivered.
func New(maxDelivered int) *Merger {
	if maxDelivered <= 0 {
		maxDelivered = DefaultMaxDelivered
	}
	return &Merger{maxDelivered: maxDelivered}
}

// Begin starts an attempt, whose number must be larger than those of earlier attempts. Chunks of earlier attempts that arrive
// later are dropped.
func (m *Merger) Begin(attempt int) error {
	if attempt <= m.attempt {
		return fault.Internal.New("attempt %d begins after attempt %d", attempt, m.attempt)
	}
	m.attempt = attempt
	return nil
}

// Add takes the next chunk of an attempt and reports whether to forward it to the caller. It fails with fault.BrokenAnswer when
// the attempt can't be part of this answer: it skips a token, repeats a delivered token with another text, or continues after the
// end of the answer. After a failure the attempt is over, and the position to resume from is unchanged.
func (m *Merger) Add(c Chunk) (forward bool, err error) {
	if c.Attempt != m.attempt {
		return false, nil
	}
	if !c.Indexed {
		return m.addUnindexed(c)
	}
	next := m.nextToken()
	switch {
	case c.Index < 0 || c.Index > next:
		return false, fault.BrokenAnswer.New("attempt %d sent token %d where token %d is due", c.Attempt, c.Index, next)
	case c.Index < next:
		return false, m.checkRepeatedToken(c)
	case m.finished:
		return false, fault.BrokenAnswer.New("attempt %d sent token %d after the end of the answer", c.Attempt, c.Index)
	}
	m.deliver(c)
	return true, nil
}

// End is called when an attempt's stream has ended. It fails with fault.BrokenAnswer when the answer isn't finished. For an
// earlier attempt than the current one it does nothing.
func (m *Merger) End(attempt int) error {
	if attempt != m.attempt || m.finished {
		return nil
	}
	return fault.BrokenAnswer.New("attempt %d ended at token %d without a finish reason", attempt, m.nextToken())
}

// Finished reports whether the last token has been delivered.
func (m *Merger) Finished() bool {
	return m.finished
}

// Resume returns the position from which the next attempt must continue. It returns false when no attempt can continue the answer:
// the answer is finished, longer than the limit, or contains more than text.
func (m *Merger) Resume() (ResumePoint, bool) {
	if m.finished || m.opaque || m.overflowed {
		return ResumePoint{}, false
	}
	return ResumePoint{Token: m.nextToken(), Text: bytes.Clone(m.text)}, true
}

func (m *Merger) nextToken() int {
	return len(m.ends)
}

// addUnindexed handles a chunk without a token index. It is forwarded only before the first token and after the last one, where it
// doesn't split the text of the answer.
func (m *Merger) addUnindexed(c Chunk) (bool, error) {
	if len(c.Text) > 0 || c.Finish != "" {
		return false, fault.BrokenAnswer.New("attempt %d sent text or a finish reason without a token index", c.Attempt)
	}
	forward := !m.forwarded || m.finished
	m.forwarded = m.forwarded || forward
	return forward, nil
}

// checkRepeatedToken accepts a repeated token only with the text that was delivered. Another text shows that the attempt generates
// another answer, which can't continue the delivered beginning.
func (m *Merger) checkRepeatedToken(c Chunk) error {
	if m.overflowed {
		return fault.BrokenAnswer.New("attempt %d repeats token %d, whose text is no longer kept", c.Attempt, c.Index)
	}
	start := 0
	if c.Index > 0 {
		start = m.ends[c.Index-1]
	}
	if !bytes.Equal(c.Text, m.text[start:m.ends[c.Index]]) {
		return fault.BrokenAnswer.New("attempt %d repeats token %d with another text", c.Attempt, c.Index)
	}
	if c.Finish != "" && !m.finished {
		return fault.BrokenAnswer.New("attempt %d ends the answer at token %d, which was delivered without an end", c.Attempt, c.Index)
	}
	return nil
}

func (m *Merger) deliver(c Chunk) {
	m.forwarded = true
	m.finished = c.Finish != ""
	m.opaque = m.opaque || c.Opaque
	m.overflowed = m.overflowed || len(m.text)+len(c.Text) > m.maxDelivered
	if m.overflowed {
		m.text = nil
	} else {
		m.text = append(m.text, c.Text...)
	}
	m.ends = append(m.ends, len(m.text))
}
