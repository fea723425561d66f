package sheet

import (
	"cmp"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/citronglade/citronglade/internal/base/fault"
)

const (
	// MaxSize is the largest sheet file, in bytes.
	MaxSize = 32 << 20
	// maxProblems bounds the number of problems that are reported for a file that isn't a sheet. It is more than the number
	// of rows in the sheet of the largest deployment.
	maxProblems = 100_000
	// maxQuotedRunes bounds the quoted text in a problem, in characters.
	maxQuotedRunes = 80
)

// Problem is one mistake in a sheet, which the planner must correct.
type Problem struct {
	Row      int    `json:"row"`    // as the spreadsheet program shows it, from 1
	Column   string `json:"column"` // column name, empty when the problem isn't in one column
	Found    string `json:"found"`
	Expected string `json:"expected"`
}

// String returns the problem as one line of text for the planner.
func (p Problem) String() string {
	where := "row " + strconv.Itoa(p.Row)
	if p.Column != "" {
		where += ", column " + p.Column
	}
	return where + ": found " + p.Found + ", expected " + p.Expected
}

// Parse reads a .csv or .xlsx file; name is its file name. It fails with fault.BadInput or fault.TooLarge for a file that
// can't be read. For a file that can be read but has problems it returns all of them, sorted by row, and no sheet.
func Parse(name string, data []byte) (*Sheet, []Problem, error) {
	if len(data) > MaxSize {
		return nil, nil, fault.TooLarge.New("the sheet %q has %d bytes, at most %d are allowed", name, len(data), MaxSize)
	}
	var t *table
	switch extension := strings.ToLower(filepath.Ext(name)); extension {
	case ".csv":
		t = readCSV(data)
	case ".xlsx":
		var err error
		if t, err = readWorkbook(data); err != nil {
			return nil, nil, err
		}
	default:
		return nil, nil, fault.BadInput.New("the sheet %q has extension %q, want .csv or .xlsx", name, extension)
	}
	s, problems := check(t)
	return s, problems, nil
}

// check turns a table into a sheet, or into the list of its problems.
func check(t *table) (*Sheet, []Problem) {
	c := newChecker(t)
	if len(t.rows) == 0 {
		c.report(1, columnKind, "an empty file", "a header row and rows of customers, classes and rules")
	} else if c.readHeader(t.rows[0]) {
		for _, r := range t.rows[1:] {
			c.readRow(r)
		}
		c.finish(t.rows[0].Number)
	}
	if len(c.problems) > 0 {
		slices.SortStableFunc(c.problems, func(a, b Problem) int { return cmp.Compare(a.Row, b.Row) })
		return nil, c.problems
	}
	return c.sheet, nil
}

func quoteShortened(text string) string {
	if runes := []rune(text); len(runes) > maxQuotedRunes {
		text = string(runes[:maxQuotedRunes]) + "…"
	}
	return strconv.Quote(text)
}

func formatInt(n int) string {
	return strconv.Itoa(n)
}
