package forward

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/retrybudget"
	"github.com/citronglade/citronglade/internal/routing/streamorigin"
)

// newVersionedHandler returns a handler with endpoints of the given software versions, and the endpoints.
func newVersionedHandler(t *testing.T, answer func(version unit.SoftwareVersion) string, versions ...unit.SoftwareVersion) (*Handler, []*fakeEndpoint) {
	t.Helper()
	h := newTestHandler(t)
	var endpoints []*fakeEndpoint
	var known []registry.Endpoint
	for i, version := range versions {
		e := newFakeEndpoint(t, func() string { return answer(version) })
		endpoints = append(endpoints, e)
		known = append(known, registry.Endpoint{Report: registry.Report{
			ID: unit.EndpointID(fmt.Sprint("e", i)), Service: "s", Address: e.address, Slots: 5, Born: 1, Software: version,
		}})
	}
	h.WithRoutingState(func(a *assign.Assigner, _ *retrybudget.Budget) { a.SetEndpoints(known, h.Table().Service, nil, nil) })
	return h, endpoints
}

// Guards against one answer with events of two software versions, after an endpoint has broken off the stream.
func TestAStreamIsResumedAtItsSoftwareVersionOnly(t *testing.T) {
	cases := []struct {
		name     string
		versions []unit.SoftwareVersion
		broken   bool
	}{
		{name: "another endpoint of the version", versions: []unit.SoftwareVersion{"v1", "v2", "v1", "v2"}},
		{name: "no other endpoint of the version", versions: []unit.SoftwareVersion{"v1", "v2"}, broken: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var begun atomic.Int64
			h, _ := newVersionedHandler(t, func(version unit.SoftwareVersion) string {
				streams := begun.Add(1)
				event := fmt.Sprintf("id: %d\ndata: %s\n\n", streams, version)
				chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
				if streams == 1 {
					return streamHead + chunk
				}
				return streamHead + chunk + lastChunk
			}, c.versions...)
			status, _, body, err := serveOnce(t, h, "/resumable/x", "")
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, err != nil, c.broken, "%q %v", body, err)
			if !c.broken {
				v := body[len("id: 1\ndata: "):][:2]
				assert.Equal(t, body, "id: 1\ndata: "+v+"\n\nid: 2\ndata: "+v+"\n\n")
			}
		})
	}
}

// takeUp sends a request that goes on with a stream after its first event.
func takeUp(t *testing.T, h *Handler, resumes unit.RequestID) (status int, header http.Header, body string, err error) {
	t.Helper()
	return serveChanged(t, h, "/resumable/x", func(call *Call) { call.ID, call.ResumeAfter, call.Resumes = "r2", "1", resumes })
}

// Guards against a stream that goes on at another software version, or at any version because the right one isn't known, and against
// callers that wait in vain or come back in vain.
func TestAStreamIsTakenUpAtTheVersionThatBeganIt(t *testing.T) {
	const ownRequest, unknown = "r1", "r9"
	v2 := streamorigin.Origin{Service: "s", Software: "v2"}
	cases := []struct {
		name     string
		resumes  unit.RequestID
		recorded *streamorigin.Origin // by the control hosts
		leaving  bool                 // the endpoints of v2 are leaving
		crashed  bool                 // the endpoints of v2 have crashed
		status   int
		again    bool // the caller should come back soon
	}{
		{name: "begun through this host", resumes: ownRequest, status: http.StatusOK},
		{name: "begun through another host", resumes: unknown, recorded: &v2, status: http.StatusOK},
		{name: "not known", resumes: unknown, status: http.StatusServiceUnavailable},
		{name: "no request named", status: http.StatusServiceUnavailable},
		{name: "no request named, a single version for long", recorded: &v2, status: http.StatusOK},
		{name: "another service", resumes: unknown, recorded: &streamorigin.Origin{Service: "t", Software: "v2"}, status: http.StatusServiceUnavailable},
		{name: "the version has left", resumes: unknown, recorded: &streamorigin.Origin{Service: "s", Software: "v0"}, status: http.StatusServiceUnavailable},
		{name: "the version is leaving", resumes: unknown, recorded: &v2, leaving: true, status: http.StatusServiceUnavailable},
		{name: "the endpoints of the version have crashed", resumes: unknown, recorded: &v2, crashed: true, status: http.StatusServiceUnavailable, again: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, _ := newVersionedHandler(t, func(version unit.SoftwareVersion) string {
				event := fmt.Sprintf("id: 2\ndata: %s\n\n", version)
				return streamHead + fmt.Sprintf("%x\r\n%s\r\n", len(event), event) + lastChunk
			}, "v1", "v1", "v1", "v2", "v2")
			h.streams.Record(0, streamorigin.NewID("", ownRequest), v2)
			h.FindStream = func(context.Context, streamorigin.Query) (streamorigin.Origin, bool) {
				if c.recorded == nil {
					return streamorigin.Origin{}, false
				}
				return *c.recorded, true
			}
			for _, id := range []unit.EndpointID{"e3", "e4"} {
				lifetime := registry.Lifetime{Endpoint: id, Born: 1}
				h.WithRoutingState(func(a *assign.Assigner, _ *retrybudget.Budget) {
					if c.leaving {
						a.MarkLeaving(lifetime)
					}
				})
				if c.crashed {
					h.RecordCrash(lifetime, "test")
				}
			}
			status, header, body, err := takeUp(t, h, c.resumes)
			assert.NilError(t, err)
			assert.Equal(t, status, c.status)
			if status == http.StatusOK {
				assert.Equal(t, body, "id: 2\ndata: v2\n\n")
				return
			}
			after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Equal(t, after < 1.5, c.again, "%f s, the caller waits 2 s", after)
		})
	}
}

// newCorrectingHandler returns a handler whose streams begin at another software version than the one recorded first, and the number of attempts
// made.
func newCorrectingHandler(t *testing.T) (*Handler, *atomic.Int64) {
	t.Helper()
	begun := &atomic.Int64{}
	h, _ := newVersionedHandler(t, func(unit.SoftwareVersion) string {
		if begun.Add(1) == 1 {
			return refused
		}
		return streamHead + firstEvent + lastChunk
	}, "v1", "v2")
	return h, begun
}

// Guards against a record that names the version of the first attempt although another version began the stream after it: its first event
// must not reach the caller before the control host has the corrected record.
func TestTheFirstEventWaitsForACorrectedRecord(t *testing.T) {
	h, begun := newCorrectingHandler(t)
	status, _, _, err := serveOnce(t, h, "/resumable/x", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadGateway, "no control host gets the record")
	origin, ok := h.streams.Find(streamorigin.NewID("", "r1"))
	assert.Assert(t, ok)
	assert.Equal(t, h.LastStream(), uint64(2))

	begun.Store(0)
	h.StreamsStored(100)
	status, _, body, err := serveOnce(t, h, "/resumable/x", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "id: 1\ndata: a\n\n")
	corrected, _ := h.streams.Find(streamorigin.NewID("", "r1"))
	assert.Equal(t, corrected.Service, origin.Service)
}

// Guards against an empty success at the deadline of a stream whose first event waits for a control host until then: the caller is still
// there and must learn that the request failed.
func TestAStreamThatWaitsForACorrectedRecordFailsAtItsDeadline(t *testing.T) {
	h, begun := newCorrectingHandler(t)
	status, _, body, err := serveChanged(t, h, "/resumable/x", func(call *Call) { call.Timeout = correctionTimeout * 4 / 5 })
	assert.NilError(t, err)
	assert.Equal(t, begun.Load(), int64(2))
	assert.Equal(t, status, http.StatusGatewayTimeout, "%q", body)
}

// Guards against a stream that goes on at an endpoint whose software version has changed while this host was out of contact with the
// control hosts.
func TestAHostOutOfStepGoesOnWithNoStream(t *testing.T) {
	cases := []struct {
		name     string
		inStep   func(checks int64) bool
		takenUp  int  // status of a request that takes up a stream
		complete bool // an answer whose first endpoint breaks off is completed
	}{
		{name: "in step", inStep: func(int64) bool { return true }, takenUp: http.StatusOK, complete: true},
		{name: "out of step", inStep: func(int64) bool { return false }, takenUp: http.StatusServiceUnavailable},
		{name: "out of step for a moment", inStep: func(checks int64) bool { return checks > 3 }, takenUp: http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var sends, checks atomic.Int64
			h, _ := newVersionedHandler(t, func(unit.SoftwareVersion) string {
				if sends.Add(1) == 1 {
					return streamHead + firstEvent
				}
				return streamHead + secondEvent + lastChunk
			}, "v1", "v1")
			h.InStep = func() bool { return c.inStep(checks.Add(1)) }
			_, _, _, err := serveOnce(t, h, "/resumable/x", "")
			assert.Equal(t, err == nil, c.complete, "%v", err)
			checks.Store(0)
			status, header, _, err := takeUp(t, h, "r1")
			assert.NilError(t, err)
			assert.Equal(t, status, c.takenUp)
			assert.Equal(t, header.Get("Retry-After") != "", status == http.StatusServiceUnavailable)
		})
	}
}
