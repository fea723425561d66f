package forward

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/retrybudget"
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
