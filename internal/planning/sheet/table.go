package sheet

import "strconv"

// Column names, in the order of the canonical rows.
const (
	columnKind        = "kind"
	columnName        = "name"
	columnLimit       = "limit-per-second"
	columnBurst       = "burst"
	columnWeight      = "weight"
	columnTokenDigest = "token-digest"
	columnUrgency     = "urgency"
	columnDeadline    = "deadline-seconds"
	columnMaxWait     = "max-wait-seconds"
	columnCustomer    = "customer"
	columnTarget      = "target"
	columnOperation   = "operation"
	columnClass       = "class"
	columnRepeat      = "repeat"
)

const (
	// maxCells bounds the cells that are kept of one row. Without it a row of delimiters would need 16 bytes of memory for
	// each byte of a CSV file, and one cell in the last column of a workbook 256 KiB.
	maxCells = 64
	// maxRows bounds the rows that are read. It is below the limit of the codec, which decodes arrays of up to a million
	// elements.
	maxRows = 1 << 18
)

var tooManyCells = "at most " + strconv.Itoa(maxCells) + " cells in a row"

var columns = []string{
	columnKind, columnName, columnLimit, columnBurst, columnWeight, columnTokenDigest, columnUrgency, columnDeadline,
	columnMaxWait, columnCustomer, columnTarget, columnOperation, columnClass, columnRepeat,
}

// row is one row of a file. Tables don't contain empty rows, but Number counts them.
type row struct {
	Number int
	Cells  []string
}

// table holds the rows of a file, whatever its format.
type table struct {
	rows []row
	// decimalPoint is true when numbers were written by a program with a decimal point, so that the point in 1.500
	// isn't a thousands separator.
	decimalPoint bool
	problems     []Problem
}

// isEmpty reports whether a row has no text. Spreadsheet programs export empty rows if their cells were ever formatted.
func (r row) isEmpty() bool {
	for _, cell := range r.Cells {
		if cell != "" {
			return false
		}
	}
	return true
}

func (t *table) addProblem(p Problem) {
	if len(t.problems) < maxProblems {
		t.problems = append(t.problems, p)
	}
}

func tooManyRowsProblem(number int) Problem {
	return Problem{Row: number, Found: "more rows", Expected: "at most " + strconv.Itoa(maxRows) + " rows"}
}
