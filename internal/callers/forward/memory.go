package forward

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/callers/exchange"
)

const (
	// defaultAnswerBytes is Dependencies.AnswerBytes where none is set, about a fifth of the memory of a small entry host.
	defaultAnswerBytes = 24 << 20
	// firstAnswerBytes is the first buffer for an answer; most are smaller.
	firstAnswerBytes = 2 << 10
)

// hold takes memory for answers until the request ends. It fails with fault.BrokenAnswer when all requests together have too much:
// endpoints then send far more than is asked of them.
func (r *request) hold(bytes int) error {
	most := r.h.AnswerBytes
	if most <= 0 {
		most = defaultAnswerBytes
	}
	if r.h.held.Add(int64(bytes)) > most {
		r.h.held.Add(-int64(bytes))
		return fault.BrokenAnswer.New("the answers of all requests take more than %d bytes", most)
	}
	r.held += int64(bytes)
	return nil
}

// release gives back memory of an answer that isn't passed on.
func (r *request) release(bytes int) {
	r.held -= int64(bytes)
	r.h.held.Add(-int64(bytes))
}

// readWhole reads an answer to its end. It fails with fault.BrokenAnswer.
func (r *request) readWhole(answer *exchange.Answer) ([]byte, error) {
	data := []byte{}
	fail := func(err error) ([]byte, error) {
		r.release(cap(data))
		return nil, err
	}
	for {
		if len(data) == cap(data) {
			grown := slices.Grow(data, max(firstAnswerBytes, len(data)))
			if err := r.hold(cap(grown) - cap(data)); err != nil {
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

// limitCaller gives the caller so long to take what is written, and returns what ends that. A connection that knows no limit is
// left as it is.
func (r *request) limitCaller(after time.Duration) (end func()) {
	controller := http.NewResponseController(r.w)
	if err := controller.SetWriteDeadline(time.Now().Add(after)); err != nil {
		return func() {}
	}
	return func() { _ = controller.SetWriteDeadline(time.Time{}) } // it could be set, so it can be lifted
}
