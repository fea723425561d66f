package follower

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/configuration"
	"github.com/citronglade/citronglade/internal/planning/sheet"
)

const (
	digest = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

	lease = 5 * time.Second
	table = "kind;name;limit-per-second;burst;weight;token-digest;urgency;deadline-seconds;max-wait-seconds;" +
		"customer;target;operation;class;repeat\n" +
		"customer;utrecht;50;100;1;" + digest + ";;;;;;;;\n" +
		"class;urgent;;;;;0;2;1;;;;;\n" +
		"rule;;;;;;;;;*;taalmodel;*;urgent;idempotent\n"
)

// accept applies an order with the sheet to a machine and returns the update from the known version.
func accept(t *testing.T, m *configuration.Machine, base, known unit.ConfigurationVersion, id unit.OrderID, text string) configuration.Update {
	t.Helper()
	s, problems, err := sheet.Parse("sheet.csv", []byte(text))
	assert.NilError(t, err)
	assert.Equal(t, len(problems), 0, "%v", problems)
	command, err := configuration.EncodeCommand(configuration.Command{
		Order: &configuration.Order{ID: id, Operator: "ana", Base: base, Sheet: s.Encode()},
	})
	assert.NilError(t, err)
	answer, err := configuration.DecodeAnswer(m.Apply(uint64(base)+1, command))
	assert.NilError(t, err)
	assert.Assert(t, answer.Accepted, "%+v", answer)
	return m.Since(known)
}

// Guards against a host that serves an unconfirmed configuration: before the first answer, after its lease has expired, and
// after a freeze that lasts longer than the lease.
func TestViewIsRefusedWithoutConfirmation(t *testing.T) {
	m := configuration.New()
	update := accept(t, m, 0, 0, "o1", table)
	f := New(false, nil)
	_, err := f.View(0)
	assert.Assert(t, errorx.IsOfType(err, fault.StaleConfiguration))
	sent := unit.Moment(time.Second)
	assert.NilError(t, f.Accept(sent, Answer{ValidFor: lease, Update: update}))
	view, err := f.View(sent.Add(lease))
	assert.NilError(t, err)
	assert.Equal(t, view.Version, unit.ConfigurationVersion(1))
	_, err = f.View(sent.Add(lease + 1))
	assert.Assert(t, errorx.IsOfType(err, fault.StaleConfiguration))
}

// Guards against a host that is set to serve stale configurations and starts with one that was never confirmed.
func TestServeStaleStillNeedsAFirstConfirmation(t *testing.T) {
	m := configuration.New()
	update := accept(t, m, 0, 0, "o1", table)
	f := New(true, nil)
	assert.NilError(t, f.Accept(0, Answer{Update: update}))
	_, err := f.View(0)
	assert.Assert(t, errorx.IsOfType(err, fault.StaleConfiguration))
	assert.NilError(t, f.Accept(0, Answer{ValidFor: lease, Update: configuration.Update{Base: 1, Version: 1}}))
	view, err := f.View(unit.Moment(time.Hour))
	assert.NilError(t, err)
	assert.Assert(t, view.Stale)
}

// Guards against a delayed answer of a lagging host that takes the follower back to an older version.
func TestAcceptNeverGoesBack(t *testing.T) {
	m := configuration.New()
	first := accept(t, m, 0, 0, "o1", table)
	second := accept(t, m, 1, 1, "o2", table+"class;later;;;;;5;60;30;;;;;\n")
	f := New(false, nil)
	assert.NilError(t, f.Accept(0, Answer{ValidFor: lease, Update: first}))
	assert.NilError(t, f.Accept(0, Answer{ValidFor: lease, Update: second}))
	assert.NilError(t, f.Accept(0, Answer{ValidFor: lease, Update: first}))
	view, err := f.View(1)
	assert.NilError(t, err)
	assert.Equal(t, view.Version, unit.ConfigurationVersion(2))
}

// Guards against a host that confirms a version to a peer for longer than its own remaining time, or that confirms a version
// other than its own.
func TestAnswerPassesOnRemainingTimeAndLastStep(t *testing.T) {
	m := configuration.New()
	first := accept(t, m, 0, 0, "o1", table)
	f, peer := New(false, nil), New(false, nil)
	assert.NilError(t, f.Accept(0, Answer{ValidFor: lease, Update: first}))
	assert.NilError(t, peer.Accept(0, Answer{ValidFor: lease, Update: first}))
	second := accept(t, m, 1, 1, "o2", table+"class;later;;;;;5;60;30;;;;;\n")
	sent := unit.Moment(time.Second)
	assert.NilError(t, f.Accept(sent, Answer{ValidFor: lease, Update: second}))
	answer := f.Answer(sent.Add(4*time.Second), peer.Request())
	assert.Equal(t, answer.ValidFor, time.Second)
	assert.NilError(t, peer.Accept(sent.Add(4*time.Second), answer))
	remaining, version := peer.Remaining(sent.Add(4 * time.Second))
	assert.Equal(t, remaining, time.Second)
	assert.Equal(t, version, unit.ConfigurationVersion(2))
	assert.Equal(t, f.Answer(sent, Request{Known: 7}).ValidFor, time.Duration(0))
}
