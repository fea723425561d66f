package bodymemory

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/buffermemory"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// firstBytes is the size of the first piece of memory for a body. Most bodies are smaller.
const firstBytes = 16 << 10

const (
	// serverDrainBytes is the size up to which net/http reads the rest of a body before it answers.
	serverDrainBytes = 256 << 10
	// maxDrainBytes bounds what is read of a larger one: the largest body that a host accepts, 8 MiB, and as much again.
	maxDrainBytes = 16 << 20
)

// body is the body of one request.
type body struct {
	io.ReadCloser
	budget   *Budget
	w        http.ResponseWriter
	length   int64        // as the request states it, -1 if it doesn't
	received atomic.Int64 // bytes

	// The budget's lock protects the following fields.
	share      *buffermemory.Share
	progressAt unit.Moment // when at least minProgress bytes had arrived since the last time
	progress   int64       // bytes that had arrived by then
	givenUp    error       // nil unless the body was given up
	arrived    bool        // completely
	dropping   bool        // given up, and its buffer isn't dropped yet
}

func (b *Budget) open(w http.ResponseWriter, r *http.Request) *body {
	read := &body{ReadCloser: r.Body, budget: b, w: w, length: r.ContentLength, share: b.memory.Open(""), progressAt: b.options.Now()}
	b.mu.Lock()
	b.reading[read] = struct{}{}
	b.mu.Unlock()
	return read
}

// Read implements io.Reader. It returns the reason if the body was given up.
func (d *body) Read(p []byte) (int, error) {
	n, err := d.ReadCloser.Read(p)
	d.received.Add(int64(n))
	if err == nil {
		return n, nil
	}
	d.budget.mu.Lock()
	defer d.budget.mu.Unlock()
	if d.givenUp != nil {
		return n, d.givenUp
	}
	d.arrived = errors.Is(err, io.EOF)
	delete(d.budget.reading, d)
	return n, err
}

// end returns the memory. The rest of a body that wasn't read must arrive soon. The server itself reads the rest of small bodies only; a client
// that is still sending a larger one would get a reset of its connection instead of the answer.
func (d *body) end() {
	if d.close() && (d.length < 0 || d.length > serverDrainBytes) && d.setReadDeadline(time.Now().Add(drainTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, d.ReadCloser, maxDrainBytes) // an error ends the connection
	}
}

// close returns the memory, and reports whether a part of the body may still arrive.
func (d *body) close() (unread bool) {
	d.budget.mu.Lock()
	defer d.budget.mu.Unlock()
	delete(d.budget.reading, d)
	d.release()
	if d.arrived || d.givenUp != nil {
		return false
	}
	_ = d.setReadDeadline(time.Now().Add(drainTimeout))
	return true
}

// grow returns a buffer of the given size with the data, whose buffer it keeps for other bodies. It fails with fault.Overloaded or with the reason
// for which the body was given up.
func (d *body) grow(data []byte, size int64) ([]byte, error) {
	larger, err := d.take(size, size-int64(cap(data)))
	if err != nil {
		return nil, err
	}
	larger = append(larger, data...)
	d.budget.keep(data)
	return larger, nil
}

// take returns an empty buffer of the given size, which takes that many bytes more than the body has. If there is no memory, it waits until a
// body that is given up for it has dropped its buffer.
func (d *body) take(size, bytes int64) ([]byte, error) {
	b := d.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	least := int64(1)
	if d.share.Bytes()+bytes > buffermemory.SmallBytes {
		least = buffermemory.SmallBytes + 1 // small bodies aren't given up for a large one
	}
	for {
		if d.givenUp != nil {
			return nil, d.givenUp
		}
		err := d.share.Grow(bytes)
		switch {
		case err == nil:
			buffer := b.spare.take(size)
			b.spare.limit(b.options.Bytes - b.memory.Used())
			return buffer, nil
		case b.dropping > 0:
			b.dropped.Wait()
		case !b.giveUpSlowest(least):
			return nil, full(err)
		}
	}
}

// updateProgress records whether the body has made progress. The budget's lock must be held.
func (d *body) updateProgress(now unit.Moment) {
	if received := d.received.Load(); received-d.progress >= minProgress {
		d.progressAt, d.progress = now, received
	}
}

// before reports whether the body must be given up before another one.
func (d *body) before(other *body) bool {
	large, otherLarge := d.share.Bytes() > buffermemory.SmallBytes, other.share.Bytes() > buffermemory.SmallBytes
	switch {
	case large != otherLarge:
		return large
	case d.progressAt != other.progressAt:
		return d.progressAt < other.progressAt
	default:
		return d.share.Bytes() > other.share.Bytes()
	}
}

// giveUp ends the reading of the body. The goroutine that reads it drops the buffer and returns the memory as soon as it runs. The budget's
// lock must be held.
func (d *body) giveUp(reason error) {
	d.givenUp = reason
	delete(d.budget.reading, d)
	failed := d.setReadDeadline(time.Unix(1, 0)) != nil
	if failed || d.share.Bytes() == 0 {
		d.share.Close()
	} else {
		d.dropping = true
		d.budget.dropping++
	}
	d.budget.dropped.Broadcast() // the body itself may be waiting for memory
}

// release returns the memory. The budget's lock must be held.
func (d *body) release() {
	d.share.Close()
	if d.dropping {
		d.dropping = false
		d.budget.dropping--
		d.budget.dropped.Broadcast()
	}
}

// drop returns the memory of a body that is refused, whose buffer is kept for other bodies.
func (d *body) drop(data []byte) {
	d.budget.mu.Lock()
	defer d.budget.mu.Unlock()
	d.release()
	d.budget.spare.put(data, d.budget.options.Bytes-d.budget.memory.Used())
}

// setReadDeadline sets the deadline for reading from the connection. The server removes it at the end of the body. The handler must not
// have returned. It fails only for connections without deadlines, which tests use.
func (d *body) setReadDeadline(at time.Time) error {
	return http.NewResponseController(d.w).SetReadDeadline(at)
}

// ReadAll reads the whole body of a request, at most limit bytes. It takes memory as the body arrives if the request came through
// Budget.Handler. It fails with fault.TooLarge, fault.Overloaded, fault.BodyTimeout, fault.CallerLeft or fault.BadInput.
func ReadAll(r *http.Request, limit int64) ([]byte, error) {
	counted, _ := r.Body.(*body)
	if r.Body == nil || r.ContentLength == 0 {
		return []byte{}, nil
	}
	if r.ContentLength > limit {
		return nil, fault.TooLarge.New("the body has %d bytes, at most %d are allowed", r.ContentLength, limit)
	}
	data, err := read(r, counted, limit)
	r.Trailer = nil // nobody uses it, and it isn't counted
	if err != nil {
		if counted != nil {
			counted.drop(data)
		}
		return nil, err
	}
	return data, nil
}

// read returns what it has read also if it fails.
func read(r *http.Request, counted *body, limit int64) ([]byte, error) {
	most := limit + 1
	if r.ContentLength > 0 {
		most = r.ContentLength + 1 // the last byte stays free, so that the end is found without another piece
	}
	data := []byte{}
	for {
		if len(data) == cap(data) {
			size := min(max(firstBytes, 2*int64(cap(data))), most)
			if counted != nil {
				larger, err := counted.grow(data, size)
				if err != nil {
					return data, err
				}
				data = larger
			} else {
				data = append(make([]byte, 0, size), data...)
			}
		}
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return data, fault.TooLarge.New("the body has more than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, readFailure(r, err)
		}
	}
}

// readFailure returns the error for a body that could not be read.
func readFailure(r *http.Request, err error) error {
	switch {
	case errorx.Cast(err) != nil:
		return err // the reason for which the body was given up
	case r.Context().Err() != nil || errors.Is(err, io.ErrUnexpectedEOF):
		return fault.CallerLeft.Wrap(err, "the caller left before the end of its body")
	default:
		return fault.BadInput.Wrap(err, "cannot read the body")
	}
}
