package forward

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/buffermemory"
	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	// defaultAnswerBytes replaces a Dependencies.MaxAnswerMemory of 0. It is about a fifth of the memory of a small entry host.
	defaultAnswerBytes = 24 << 20
	// initialBufferBytes is the initial size of the buffer for an answer; most answers are smaller.
	initialBufferBytes = 2 << 10
)

// openMemory returns the memory for an answer of the given source. It is returned when the request ends, at the latest.
func (r *request) openMemory(source string) *buffermemory.Share {
	share := r.h.memory.Open(source)
	r.memory = append(r.memory, share)
	return share
}

// readWhole reads the body of an answer to its end. It fails with fault.BrokenAnswer.
func readWhole(answer io.Reader, memory *buffermemory.Share) ([]byte, error) {
	data := []byte{}
	fail := func(err error) ([]byte, error) {
		memory.Close()
		return nil, err
	}
	for {
		if len(data) == cap(data) {
			grown := slices.Grow(data, min(max(initialBufferBytes, len(data)), maxAnswerBytes+1-len(data)))
			if err := memory.Grow(int64(cap(grown) - cap(data))); err != nil {
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
