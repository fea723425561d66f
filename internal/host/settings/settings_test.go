package settings

import (
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
)

func flagLookup(values map[string]string) func(string) (string, bool) {
	return func(name string) (string, bool) {
		value, ok := values[name]
		return value, ok
	}
}

func validSettings() map[string]string {
	return map[string]string{
		"name": "entry-1", "data-centre": "nlw-a", "roles": "entry,control", "data-folder": "data",
		"entry-hosts": "entry-1,entry-2", "control-hosts": "entry-1", "peers": "entry-2=127.0.0.1:7101",
	}
}

// Guards against a start that reports only the first problem, so that an operator needs a restart for each wrong setting.
func TestNewReportsAllProblemsAtOnce(t *testing.T) {
	values := validSettings()
	values["name"] = "Entry 1"
	values["piece-tokens"] = "many"
	values["peers"] = "entry-2"
	_, _, err := New(flagLookup(values))
	assert.Assert(t, errorx.IsOfType(err, fault.BadSetting))
	for _, part := range []string{`--name is "Entry 1" (flag)`, `--piece-tokens is "many"`, "a whole number from 16", "--peers"} {
		assert.Assert(t, strings.Contains(err.Error(), part), "%q is missing in %v", part, err)
	}
}

// Guards against values that are valid on their own but not in combination.
func TestNewChecksSettingsTogether(t *testing.T) {
	tests := []struct {
		name, setting, value, want string
	}{
		{"unknown control host", "control-hosts", "entry-1,entry-9", `"entry-9"`},
		{"control without folder", "data-folder", "", "--data-folder is empty"},
		{"entry host missing", "entry-hosts", "entry-2", "isn't in --entry-hosts"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			values := validSettings()
			values[test.setting] = test.value
			_, _, err := New(flagLookup(values))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// Guards against an environment variable that overrides a flag, and against a wrong origin of a value.
func TestNewPrefersFlagsOverEnvironmentOverDefaults(t *testing.T) {
	t.Setenv("CITRONGLADE_FRESHNESS", "3s")
	t.Setenv("CITRONGLADE_PIECE_TOKENS", "500")
	values := validSettings()
	values["piece-tokens"] = "1000"
	settings, found, err := New(flagLookup(values))
	assert.NilError(t, err)
	assert.Equal(t, int(settings.PieceTokens), 1000)
	origins := map[string]Origin{}
	for _, value := range found {
		origins[value.Name] = value.Origin
	}
	assert.Equal(t, origins["piece-tokens"], OriginFlag)
	assert.Equal(t, origins["freshness"], OriginEnvironment)
	assert.Equal(t, origins["stop-grace"], OriginDefault)
}
