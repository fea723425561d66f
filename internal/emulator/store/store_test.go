package store

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Guards against a store that exceeds its memory limit, and one that evicts a recently used piece.
func TestStoreEvictsLeastRecentlyUsed(t *testing.T) {
	e := New(Options{MaxBytes: 25})
	call := func(method string, piece byte, body string) int {
		recorder := httptest.NewRecorder()
		path := "/store/v1/pieces/" + unit.Digest{piece}.String()
		e.Handler().ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
		return recorder.Code
	}
	assert.Equal(t, call(http.MethodPut, 1, "0123456789"), http.StatusNoContent)
	assert.Equal(t, call(http.MethodPut, 2, "0123456789"), http.StatusNoContent)
	assert.Equal(t, call(http.MethodGet, 1, ""), http.StatusOK)
	assert.Equal(t, call(http.MethodPut, 3, "0123456789"), http.StatusNoContent)
	assert.Equal(t, call(http.MethodHead, 2, ""), http.StatusNotFound)
	assert.Equal(t, call(http.MethodHead, 1, ""), http.StatusOK)
	assert.Equal(t, call(http.MethodPut, 4, strings.Repeat("x", 26)), http.StatusRequestEntityTooLarge)
	assert.Equal(t, e.bytes, int64(20))
}
