package machine

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bounds that are derived from a wrong size of the machine.
func TestLimitsOfTheMachine(t *testing.T) {
	assert.Equal(t, memoryOf("MemTotal:       32614356 kB\nMemFree:   12 kB\n"), int64(32614356)<<10)
	assert.Equal(t, memoryOf("nothing"), int64(0))
	assert.Equal(t, Descriptors(5), 5)
	assert.Assert(t, Descriptors(0) > 5)
}
