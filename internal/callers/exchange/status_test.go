package exchange

import (
	"fmt"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
)

// Guards against a status that isn't one reaching a caller, and against an answer with such a status being skipped as an interim one.
func TestInvalidStatusesAreBrokenAnswers(t *testing.T) {
	for _, status := range []string{"000", "099", "99", "101", "600", "999", "-20", "2000"} {
		t.Run(status, func(t *testing.T) {
			body := strings.ReplaceAll(whole, "ID", "1")
			answer := fmt.Sprintf("HTTP/1.1 %s Status\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
			address := scriptedEndpoint(t, func(int, int) (string, bool) { return answer, false })
			got, body, err := send(t, New(timer.New().Now), address, "1")
			assert.Assert(t, errorx.IsOfType(err, fault.BrokenAnswer), "%d %q %v", got, body, err)
		})
	}
}
