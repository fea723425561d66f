package sheet

import (
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Guards against an encoding that loses a field, and against a Decode that accepts another form of the same sheet, which
// would have another digest.
func TestDecodeAcceptsOnlyTheCanonicalForm(t *testing.T) {
	s := mustParse(t, "a.csv", formatCSV(validRows, ",", "\n"))
	decoded, err := Decode(s.Encode())
	assert.NilError(t, err)
	assert.Equal(t, decoded.Digest(), s.Digest())
	assert.Equal(t, len(Diff(s, decoded)), 0)
	assert.DeepEqual(t, decoded.Rules, s.Rules)

	edits := []struct {
		name string
		edit func(form *canonical)
	}{
		{"another version", func(form *canonical) { form.Version++ }},
		{"a missing cell", func(form *canonical) { form.Rows[0].Cells = form.Rows[0].Cells[1:] }},
		{"an added cell", func(form *canonical) { form.Rows[0].Cells = append(form.Rows[0].Cells, "") }},
		{"a space", func(form *canonical) { form.Rows[0].Cells[1] += " " }},
		{"another notation", func(form *canonical) { form.Rows[0].Cells[2] += "0" }},
		{"another order", func(form *canonical) { form.Rows[0], form.Rows[1] = form.Rows[1], form.Rows[0] }},
		{"a numbered customer", func(form *canonical) { form.Rows[0].Number = 3 }},
		{"two rules in one row", func(form *canonical) { form.Rows[5].Number = form.Rows[4].Number }},
		{"an unknown class", func(form *canonical) { form.Rows[4].Cells[12] = "fast" }},
	}
	for _, e := range edits {
		form, err := decodeCanonical(s.Encode())
		assert.NilError(t, err)
		e.edit(&form)
		_, err = Decode(form.encode())
		assert.Assert(t, errorx.IsOfType(err, fault.BadPeer), "%s: %v", e.name, err)
	}
}

// Guards against changes of a sheet that aren't shown to the operator.
func TestDiffNamesEveryChange(t *testing.T) {
	old := mustParse(t, "a.csv", formatCSV(validRows, ",", "\n"))
	edit := strings.NewReplacer("kroon,12.5,20", "kroon,13,20", "0.53,2", "1,2", "*,koppel-app,/schedule", "*,koppel-app,/times")
	next := mustParse(t, "b.csv", []byte(edit.Replace(string(formatCSV(validRows, ",", "\n")))))
	var lines []string
	for _, change := range Diff(old, next) {
		lines = append(lines, change.String())
	}
	assert.DeepEqual(t, lines, []string{
		"customer kroon changed: limit-per-second 12.5 -> 13",
		"class urgent changed: deadline-seconds 0.53 -> 1",
		"rule * koppel-app /schedule removed: class deferrable, repeat idempotent",
		"rule * koppel-app /times added: class deferrable, repeat idempotent",
	})
	assert.Equal(t, len(Diff(nil, old)), len(validRows)-1)
	assert.Equal(t, len(Diff(old, nil)), len(validRows)-1)
}

// Guards against bytes that crash Parse, against a sheet that is returned together with problems, and against a parsed sheet
// that can't be decoded after it was encoded. The bytes replace the worksheet inside a workbook, because changes of the zip
// archive itself would only fail its checksum.
func FuzzParse(f *testing.F) {
	workbook := formatWorkbook(f, validRows)
	f.Add(false, formatCSV(validRows, ",", "\n"))
	f.Add(false, []byte(editedCSV(2, "name", "\"a\"\"\n\"")))
	repackWorkbook(f, workbook, func(worksheet []byte) []byte { f.Add(true, worksheet); return worksheet })
	f.Fuzz(func(t *testing.T, isWorkbook bool, data []byte) {
		name := "a.csv"
		if isWorkbook {
			name, data = "a.xlsx", repackWorkbook(t, workbook, func([]byte) []byte { return data })
		}
		s, problems, err := Parse(name, data)
		if err != nil || len(problems) > 0 {
			assert.Assert(t, s == nil)
			return
		}
		decoded, err := Decode(s.Encode())
		assert.NilError(t, err)
		assert.Equal(t, decoded.Digest(), s.Digest())
	})
}

// Guards against arbitrary bytes that crash Decode, and against two encodings of the same sheet.
func FuzzDecode(f *testing.F) {
	f.Add(mustParse(f, "a.csv", formatCSV(validRows, ",", "\n")).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			assert.Assert(t, errorx.IsOfType(err, fault.BadPeer) || errorx.IsOfType(err, fault.TooLarge))
			return
		}
		assert.DeepEqual(t, s.Encode(), data)
	})
}
