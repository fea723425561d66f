package cachescope

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Guards against customers that must not use each other's cached parts but have the same scope, and against hosts that disagree on a scope.
func TestScopesAreTheSameForTheSameIsolatedCustomersOnly(t *testing.T) {
	cases := []struct {
		name string
		a, b Scope
		same bool
	}{
		{name: "no isolated customer", a: Shared(nil), b: Scope{}, same: true},
		{name: "a customer becomes isolated", a: Shared(nil), b: Shared([]unit.CustomerID{"a"})},
		{name: "another one as well", a: Shared([]unit.CustomerID{"a"}), b: Shared([]unit.CustomerID{"a", "b"})},
		{name: "another one instead", a: Shared([]unit.CustomerID{"a"}), b: Shared([]unit.CustomerID{"b"})},
		{name: "in another order", a: Shared([]unit.CustomerID{"a", "b"}), b: Shared([]unit.CustomerID{"b", "a"}), same: true},
		{name: "named twice", a: Shared([]unit.CustomerID{"a", "a"}), b: Shared([]unit.CustomerID{"a"}), same: true},
		{name: "names that join to the same text", a: Shared([]unit.CustomerID{"a", "bc"}), b: Shared([]unit.CustomerID{"ab", "c"})},
		{name: "isolated customers", a: Isolated("a"), b: Isolated("b")},
		{name: "an isolated customer and the others", a: Isolated("a"), b: Shared([]unit.CustomerID{"a"})},
		{name: "an isolated customer with the text of a shared scope as its name", a: Isolated(unit.CustomerID(Shared([]unit.CustomerID{"a"}).String())), b: Shared([]unit.CustomerID{"a"})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.a == c.b, c.same)
			assert.Equal(t, c.a.String() == c.b.String(), c.same, "%s and %s", c.a, c.b)
		})
	}
}
