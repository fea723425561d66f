package sheet

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// canonicalVersion is the version of the encoding. It must be changed with the encoding, because the sheet digests in the
// record are computed from encoded sheets.
const canonicalVersion = 1

// canonical is the content of an encoded sheet: cells in the order of columns, with decimal point and without surrounding
// space. Rows of customers come first, sorted by name and numbered 0, then rows of classes likewise, then rules sorted by
// their row number.
type canonical struct {
	Version int
	Rows    []canonicalRow
}

type canonicalRow struct {
	Number int
	Cells  []string
}

// canonicalHeader starts the first line of the encoded form.
const canonicalHeader = "citronglade-sheet "

// encode writes one line for each row, a JSON list of the number and the cells. The configuration is sent to the hosts as
// deltas between lines, so a changed row costs about its own length.
func (form canonical) encode() []byte {
	data := append([]byte(canonicalHeader), strconv.Itoa(form.Version)...)
	data = append(data, '\n')
	for _, r := range form.Rows {
		line, err := json.Marshal(append([]string{strconv.Itoa(r.Number)}, r.Cells...))
		if err != nil {
			// A list of strings can always be encoded.
			panic(err)
		}
		data = append(append(data, line...), '\n')
	}
	return data
}

// decodeCanonical decodes the lines of an encoded sheet without checking the cells. It fails with fault.BadPeer.
func decodeCanonical(data []byte) (canonical, error) {
	var form canonical
	header, rest, found := bytes.Cut(data, []byte("\n"))
	text, ok := strings.CutPrefix(string(header), canonicalHeader)
	version, err := strconv.Atoi(text)
	if !found || !ok || err != nil {
		return form, fault.BadPeer.New("the bytes are not an encoded sheet")
	}
	form.Version = version
	for line := range bytes.Lines(rest) {
		var cells []string
		if err := json.Unmarshal(line, &cells); err != nil || len(cells) == 0 {
			return form, fault.BadPeer.New("line %d of the encoded sheet is not a list of cells", len(form.Rows)+2)
		}
		number, err := strconv.Atoi(cells[0])
		if err != nil {
			return form, fault.BadPeer.New("line %d of the encoded sheet has no row number", len(form.Rows)+2)
		}
		form.Rows = append(form.Rows, canonicalRow{Number: number, Cells: cells[1:]})
	}
	return form, nil
}

// Encode returns the canonical form. It includes the row numbers of rules, which so are part of the digest: a record entry
// refers to a rule by digest and row, so two files with the same digest must have the same rule in that row. It doesn't
// include the row numbers of customers and classes, because nothing refers to them.
func (s *Sheet) Encode() []byte {
	form := canonical{Version: canonicalVersion}
	for _, c := range sortedCustomers(s) {
		form.Rows = append(form.Rows, canonicalRow{Cells: customerCells(c)})
	}
	for _, c := range sortedClasses(s) {
		form.Rows = append(form.Rows, canonicalRow{Cells: classCells(c)})
	}
	rules := slices.SortedStableFunc(slices.Values(s.Rules), func(a, b Rule) int { return cmp.Compare(a.Row, b.Row) })
	for _, r := range rules {
		form.Rows = append(form.Rows, canonicalRow{Number: r.Row, Cells: ruleCells(r)})
	}
	return form.encode()
}

// Decode reads the canonical form with the same checks as Parse. It fails with fault.TooLarge for more than MaxSize bytes and
// with fault.BadPeer for bytes that Encode can't have written.
func Decode(data []byte) (*Sheet, error) {
	if len(data) > MaxSize {
		return nil, fault.TooLarge.New("the encoded sheet has %d bytes, at most %d are allowed", len(data), MaxSize)
	}
	form, err := decodeCanonical(data)
	if err != nil {
		return nil, err
	}
	if form.Version != canonicalVersion {
		return nil, fault.BadPeer.New("the encoded sheet has version %d, want %d", form.Version, canonicalVersion)
	}
	t := &table{decimalPoint: true, rows: []row{{Cells: columns}}}
	for _, r := range form.Rows {
		for i := range r.Cells {
			r.Cells[i] = strings.TrimSpace(r.Cells[i])
		}
		t.rows = append(t.rows, row(r))
	}
	s, problems := check(t)
	if len(problems) > 0 {
		return nil, fault.BadPeer.New("the encoded sheet has %d problems, first %s", len(problems), problems[0])
	}
	for i := range s.Rules {
		if i > 0 && s.Rules[i].Row <= s.Rules[i-1].Row {
			return nil, fault.BadPeer.New("the encoded sheet has two rules in row %d", s.Rules[i].Row)
		}
	}
	if !bytes.Equal(s.Encode(), data) {
		return nil, fault.BadPeer.New("the encoded sheet isn't in canonical form")
	}
	return s, nil
}

func sortedCustomers(s *Sheet) []Customer {
	byID := func(a, b Customer) int { return cmp.Compare(a.ID, b.ID) }
	if slices.IsSortedFunc(s.Customers, byID) {
		return s.Customers
	}
	return slices.SortedStableFunc(slices.Values(s.Customers), byID)
}

func sortedClasses(s *Sheet) []Class {
	return slices.SortedStableFunc(slices.Values(s.Classes), func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
}

func customerCells(c Customer) []string {
	return padCells(kindCustomer, string(c.ID), formatNumber(c.Limit), formatNumber(c.Burst), strconv.Itoa(c.Weight), c.TokenDigest)
}

func classCells(c Class) []string {
	result := padCells(kindClass, string(c.Name))
	copy(result[6:], []string{strconv.Itoa(c.Urgency), formatSeconds(c.Deadline), formatSeconds(c.MaxWait)})
	return result
}

func ruleCells(r Rule) []string {
	result := padCells(kindRule)
	copy(result[9:], []string{string(r.Customer), r.Target, r.Operation, string(r.Class), r.Repeat})
	return result
}

func padCells(first ...string) []string {
	return append(first, make([]string, len(columns)-len(first))...)
}

func formatSeconds(d time.Duration) string {
	return formatNumber(roundNumber(d.Seconds()))
}
