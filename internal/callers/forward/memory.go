package forward

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	// defaultAnswerBytes replaces a Dependencies.MaxAnswerMemory of 0. It is about a fifth of the memory of a small entry host.
	defaultAnswerBytes = 24 << 20
	// initialBufferBytes is the initial size of the buffer for an answer; most answers are smaller.
	initialBufferBytes = 2 << 10
)

// reserve reserves memory for answers until the request ends. It fails with fault.BrokenAnswer when the answers of all requests
// together exceed the limit, because endpoints then send far more than they are asked for.
func (r *request) reserve(bytes int) error {
	limit := r.h.MaxAnswerMemory
	if limit <= 0 {
		limit = defaultAnswerBytes
	}
	if r.h.reservedBytes.Add(int64(bytes)) > limit {
		r.h.reservedBytes.Add(-int64(bytes))
		return fault.BrokenAnswer.New("the answers of all requests together take more than %d bytes", limit)
	}
	r.reservedBytes += int64(bytes)
	return nil
}

// release returns the memory of an answer that isn't forwarded.
func (r *request) release(bytes int) {
	r.reservedBytes -= int64(bytes)
	r.h.reservedBytes.Add(-int64(bytes))
}

// readWhole reads the body of an answer to its end. It fails with fault.BrokenAnswer.
func (r *request) readWhole(answer io.Reader) ([]byte, error) {
	data := []byte{}
	fail := func(err error) ([]byte, error) {
		r.release(cap(data))
		return nil, err
	}
	for {
		if len(data) == cap(data) {
			grown := slices.Grow(data, max(initialBufferBytes, len(data)))
			if err := r.reserve(cap(grown) - cap(data)); err != nil {
				return fail(err)
			}
			data = grown
		}
		n, err := answer.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > maxAnswerBytes:
			return fail(fault.BrokenAnswer.New("the answer has more than %d bytes", maxAnswerBytes))
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return fail(err)
		}
	}
}

// limitWrites sets a deadline for writes to the caller and returns a function that removes it. It does nothing if the connection
// supports no deadlines.
func (r *request) limitWrites(after time.Duration) (end func()) {
	controller := http.NewResponseController(r.w)
	if err := controller.SetWriteDeadline(time.Now().Add(after)); err != nil {
		return func() {}
	}
	return func() { _ = controller.SetWriteDeadline(time.Time{}) } // can't fail where setting a deadline worked
}
