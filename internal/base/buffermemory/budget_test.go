package buffermemory

import (
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Guards against answers that together take more memory than is allowed, and against memory that isn't released.
func TestAnswersTogetherStayWithinTheirMemory(t *testing.T) {
	b := New(100, fault.BrokenAnswer)
	first, second := b.Open("e1"), b.Open("e2")
	assert.NilError(t, first.Grow(60))
	assert.Assert(t, errorx.IsOfType(second.Grow(50), fault.BrokenAnswer))
	assert.NilError(t, second.Grow(40))
	first.Close()
	assert.NilError(t, second.Grow(60))
	assert.Equal(t, b.Used(), int64(100))
	second.Close()
	assert.Equal(t, b.Used(), int64(0))
	assert.Equal(t, len(b.sources), 0)
}

// Guards against an endpoint, or several, whose large answers leave no memory for the small ones of others.
func TestOtherAnswersKeepTheirMemory(t *testing.T) {
	const limit = 64 * SmallBytes
	cases := []struct {
		name  string
		taken func(b *Budget) []*Share // what takes as much as it gets
		more  int64                    // for another endpoint's answer
		fits  bool
	}{
		{name: "one endpoint, small answers", taken: func(b *Budget) []*Share { return fill(b, SmallBytes, "e1") }, more: SmallBytes, fits: true},
		{name: "one endpoint, small answers, and a large one of another", taken: func(b *Budget) []*Share { return fill(b, SmallBytes, "e1") }, more: limit / 8, fits: true},
		{name: "one endpoint, large answers", taken: func(b *Budget) []*Share { return fill(b, limit/8, "e1") }, more: limit / 8, fits: true},
		{name: "one large answer", taken: func(b *Budget) []*Share { return fill(b, limit*3/4, "e1") }, more: SmallBytes, fits: true},
		{name: "many endpoints, large answers, and a small one", taken: func(b *Budget) []*Share { return fill(b, limit/8, "e1", "e2", "e3", "e4") }, more: SmallBytes, fits: true},
		{name: "many endpoints, large answers, and a large one", taken: func(b *Budget) []*Share { return fill(b, limit/8, "e1", "e2", "e3", "e4") }, more: limit / 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := New(limit, fault.BrokenAnswer)
			shares := c.taken(b)
			err := b.Open("other").Grow(c.more)
			assert.Equal(t, err == nil, c.fits, "%v", err)
			assert.Assert(t, b.Used() <= limit)
			for _, s := range shares {
				s.Close()
			}
		})
	}
}

// fill opens answers of each endpoint, which all grow to the given size unless they are given up for lack of memory, until nothing more fits.
func fill(b *Budget, size int64, endpoints ...string) []*Share {
	var shares []*Share
	for fits := true; fits; {
		fits = false
		for _, name := range endpoints {
			s := b.Open(name)
			var err error
			for s.bytes < size && err == nil {
				err = s.Grow(SmallBytes / 4)
			}
			if err != nil {
				s.Close()
				continue
			}
			shares, fits = append(shares, s), true
		}
	}
	return shares
}
