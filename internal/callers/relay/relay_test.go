package relay

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
)

// recording is a stream that keeps what is written to it.
type recording struct {
	bytes.Buffer
}

func (*recording) SetWriteDeadline(time.Time) error { return nil }

func record(write func(w *Writer)) []byte {
	var r recording
	write(NewWriter(&r))
	return r.Bytes()
}

func receive(data []byte) (*Answer, string, error) {
	a, err := Receive(io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return nil, "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return a, string(body), err
}

// Guards against relayed answers that differ from what was written, or that look complete although they broke off: each answer is cut after
// every byte.
func TestAnswersArriveWholeOrBroken(t *testing.T) {
	cases := []struct {
		name     string
		write    func(w *Writer)
		status   int
		body     string
		declined bool
	}{
		{name: "whole answer", status: http.StatusAccepted, body: "body", write: func(w *Writer) {
			w.Header().Set("A", "b")
			w.WriteHeader(http.StatusAccepted)
			_, _ = w.Write([]byte("body"))
			_ = w.End()
		}},
		{name: "stream with signs of life", status: http.StatusOK, body: "onetwo", write: func(w *Writer) {
			w.KeepAlive()
			w.Header().Set("A", "b")
			_, _ = w.Write([]byte("one"))
			w.KeepAlive()
			_, _ = w.Write([]byte("two"))
			_ = w.End()
		}},
		{name: "no body", status: http.StatusNotFound, write: func(w *Writer) {
			w.Header().Set("A", "b")
			w.WriteHeader(http.StatusNotFound)
			_ = w.End()
		}},
		{name: "declined", declined: true, write: func(w *Writer) {
			w.KeepAlive()
			w.Decline(fault.Stopping.New("this host is stopping"))
			_ = w.End()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			data := record(c.write)
			a, body, err := receive(data)
			if c.declined {
				assert.Assert(t, errorx.IsOfType(err, Declined) && errorx.IsOfType(err, fault.Unreachable), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, a.Status, c.status)
			assert.Equal(t, a.Header.Get("A"), "b")
			assert.Equal(t, body, c.body)
			for n := range data {
				_, _, err := receive(data[:n])
				assert.Assert(t, errorx.IsOfType(err, fault.BrokenAnswer), "cut after %d bytes: %v", n, err)
			}
		})
	}
}

// Guards against answers without an end, and a request that is declined after its answer has begun.
func TestAnAnswerThatHasBegunIsNotDeclined(t *testing.T) {
	var r recording
	w := NewWriter(&r)
	assert.Assert(t, w.End() != nil)
	w.WriteHeader(http.StatusOK)
	w.Decline(fault.Stopping.New("this host is stopping"))
	assert.NilError(t, w.End())
	a, body, err := receive(r.Bytes())
	assert.NilError(t, err)
	assert.Equal(t, a.Status, http.StatusOK)
	assert.Equal(t, body, "")
}

// Guards against bytes of another host that crash this one or pass for an answer.
func FuzzReceive(f *testing.F) {
	f.Add(record(func(w *Writer) { _, _ = w.Write([]byte("x")); _ = w.End() }))
	f.Add([]byte{byte(frameHead), 0, 0, 0, 1, 0xa0})
	f.Add([]byte{byte(frameBody), 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		a, _, err := receive(data)
		assert.Assert(t, err != nil || a.Status >= http.StatusOK)
	})
}

// Guards against a request of another host that crashes this one.
func FuzzDecode(f *testing.F) {
	data, err := codec.Marshal(Request{ID: "1", Header: http.Header{"A": {"b"}}, Prompt: &Prompt{Parts: []Part{{ID: "p", Tokens: 1}}}})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		request, err := Decode(data)
		assert.Assert(t, err != nil || request.Elapsed >= 0 && request.PossibleRuns >= 0)
	})
}
