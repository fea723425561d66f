package sheet

import (
	"encoding/hex"
	"math"
	"path"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// maxNameLength bounds names, in bytes, because they become part of record entries and metric labels.
const maxNameLength = 128

// numberRange is an allowed range, both ends included.
type numberRange struct {
	low, high float64
}

var (
	rangeOfLimit    = numberRange{0.001, 1e6}
	rangeOfBurst    = numberRange{1, 1e6}
	rangeOfWeight   = numberRange{1, 1000}
	rangeOfUrgency  = numberRange{0, 9}
	rangeOfDeadline = numberRange{0.001, 3600}
	rangeOfMaxWait  = numberRange{0.001, 86400}
)

var (
	decimalNumber = regexp.MustCompile(`^[+-]?[0-9]+([.,][0-9]+)?$`)
	// storedNumber is the form in which spreadsheet programs store a number inside a workbook.
	storedNumber = regexp.MustCompile(`^[+-]?[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]{1,3})?$`)
	// groupedThousands is ambiguous text such as 1.500, which means 1500 where the point separates thousands, else 1.5.
	groupedThousands = regexp.MustCompile(`^[+-]?[1-9][0-9]{0,2}[.,][0-9]{3}$`)
)

// fields reads the cells of one row and reports their problems.
type fields struct {
	checker *checker
	row     row
}

func (f *fields) text(column string) string {
	position := f.checker.columnIndexes[column]
	if position >= len(f.row.Cells) {
		return ""
	}
	return f.row.Cells[position]
}

func (f *fields) reportCell(column, expected string) {
	found := "an empty cell"
	if text := f.text(column); text != "" {
		found = quoteShortened(text)
	}
	f.checker.report(f.row.Number, column, found, expected)
}

// name reads a name. It refuses combining marks, because the same name typed on another computer may have other bytes, and
// quotes and backslashes, because they come from a cell that the export quoted wrongly.
func (f *fields) name(column string) string {
	text := f.text(column)
	for _, r := range text {
		if !unicode.IsPrint(r) || unicode.Is(unicode.Mn, r) || strings.ContainsRune("\"\\\uFFFD", r) {
			f.reportCell(column, "printable characters without quotes, backslashes or combining marks")
			return ""
		}
	}
	if text == "" || len(text) > maxNameLength {
		f.reportCell(column, "a name of 1 to "+formatInt(maxNameLength)+" bytes")
		return ""
	}
	return text
}

func (f *fields) tokenDigest() string {
	text := strings.ToLower(f.text(columnTokenDigest))
	if decoded, err := hex.DecodeString(text); err != nil || len(decoded) != 32 {
		f.reportCell(columnTokenDigest, "the SHA-256 of the token, 64 hex digits")
		return ""
	}
	return text
}

func (f *fields) operation() string {
	text := f.text(columnOperation)
	if text == Any {
		return text
	}
	if !strings.HasPrefix(text, "/") || path.Clean(text) != text || strings.ContainsAny(text, "?#*%") {
		f.reportCell(columnOperation, "* or a path such as /pairings/confirm without query, escapes or final slash")
		return ""
	}
	return f.name(columnOperation)
}

func (f *fields) repeat() string {
	text := strings.ToLower(f.text(columnRepeat))
	if text != Idempotent && text != OnceOnly {
		f.reportCell(columnRepeat, Idempotent+" or "+OnceOnly)
		return ""
	}
	return text
}

func (f *fields) decimal(column string, allowed numberRange) float64 {
	expected := "a number from " + formatNumber(allowed.low) + " to " + formatNumber(allowed.high)
	return f.number(column, allowed, expected)
}

func (f *fields) integer(column string, allowed numberRange) int {
	expected := "a whole number from " + formatNumber(allowed.low) + " to " + formatNumber(allowed.high)
	number := f.number(column, allowed, expected)
	if number != math.Trunc(number) {
		f.reportCell(column, expected)
		return 0
	}
	return int(number)
}

func (f *fields) number(column string, allowed numberRange, expected string) float64 {
	text := f.text(column)
	stored := f.checker.decimalPoint && storedNumber.MatchString(text)
	if !stored && !decimalNumber.MatchString(text) {
		f.reportCell(column, expected)
		return 0
	}
	if !stored && groupedThousands.MatchString(text) {
		f.reportCell(column, expected+", without a thousands separator; write 1500 or 1,5 instead of 1,500")
		return 0
	}
	number, err := strconv.ParseFloat(strings.Replace(text, ",", ".", 1), 64)
	number = roundNumber(number)
	if err != nil || number < allowed.low || number > allowed.high {
		f.reportCell(column, expected)
		return 0
	}
	return number
}

func (f *fields) optionalDecimal(column string, allowed numberRange, otherwise float64) float64 {
	if f.text(column) == "" {
		return otherwise
	}
	return f.decimal(column, allowed)
}

func (f *fields) optionalInteger(column string, allowed numberRange, otherwise int) int {
	if f.text(column) == "" {
		return otherwise
	}
	return f.integer(column, allowed)
}

// roundNumber rounds to six decimals, because a workbook may store 0.30000000000000004 where its CSV export has 0,3.
func roundNumber(number float64) float64 {
	return math.Round(number*1e6) / 1e6
}

func formatNumber(number float64) string {
	return strconv.FormatFloat(number, 'f', -1, 64)
}

func durationOfSeconds(number float64) time.Duration {
	return time.Duration(math.Round(number*1e6)) * time.Microsecond
}
