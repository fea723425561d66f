package sheet

import (
	"bytes"
	"strings"
	"unicode/utf8"
)

// csvReader splits a CSV file into rows. It doesn't use encoding/csv, which skips empty lines, so that its records can't be
// numbered like the rows of the spreadsheet program.
type csvReader struct {
	rest      []byte
	delimiter byte
	number    int
	table     *table
}

// readCSV reads a file with commas or semicolons as delimiter, quoted cells, and LF, CRLF or CR as line ends.
func readCSV(data []byte) *table {
	t := &table{}
	if bytes.HasPrefix(data, []byte("\xff\xfe")) || bytes.HasPrefix(data, []byte("\xfe\xff")) {
		t.addProblem(Problem{Row: 1, Found: "UTF-16 text", Expected: "CSV UTF-8"})
		return t
	}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	r := &csvReader{rest: data, delimiter: findDelimiter(data), table: t}
	for len(r.rest) > 0 {
		next := r.readRow()
		if next.isEmpty() {
			continue
		}
		if len(t.rows) == maxRows {
			t.addProblem(tooManyRowsProblem(next.Number))
			break
		}
		t.rows = append(t.rows, next)
	}
	return t
}

// findDelimiter returns the delimiter that is more frequent in the header, whose column names contain no delimiters.
func findDelimiter(data []byte) byte {
	header := bytes.TrimLeft(data, "\r\n\t ,;")
	if end := bytes.IndexAny(header, "\r\n"); end >= 0 {
		header = header[:end]
	}
	if bytes.Count(header, []byte(";")) > bytes.Count(header, []byte(",")) {
		return ';'
	}
	return ','
}

func (r *csvReader) readRow() row {
	r.number++
	result := row{Number: r.number}
	for {
		cell, more := r.readCell()
		switch {
		case len(result.Cells) < maxCells:
			result.Cells = append(result.Cells, cell)
		case cell != "":
			r.addProblem(cell, tooManyCells)
		}
		if !more {
			return result
		}
	}
}

// readCell reads up to the next delimiter or line end outside quotes, and reports whether the row has more cells.
func (r *csvReader) readCell() (cell string, more bool) {
	if len(r.rest) > 0 && r.rest[0] == '"' {
		cell = r.readQuoted()
	} else {
		cell = r.readPlain()
	}
	if !utf8.ValidString(cell) {
		r.addProblem(strings.ToValidUTF8(cell, "�"), "UTF-8 text; save as CSV UTF-8")
		cell = strings.ToValidUTF8(cell, "�")
	}
	return strings.TrimSpace(cell), r.skipEnd()
}

func (r *csvReader) readPlain() string {
	end := 0
	for end < len(r.rest) && !r.endsCell(r.rest[end]) {
		end++
	}
	cell := string(r.rest[:end])
	r.rest = r.rest[end:]
	return cell
}

func (r *csvReader) readQuoted() string {
	r.rest = r.rest[1:]
	var cell []byte
	for {
		quote := bytes.IndexByte(r.rest, '"')
		if quote < 0 {
			text := string(append(cell, r.rest...))
			r.addProblem(text, "a closing quote")
			r.rest = nil
			return text
		}
		cell = append(cell, r.rest[:quote]...)
		r.rest = r.rest[quote+1:]
		if len(r.rest) == 0 || r.rest[0] != '"' {
			break
		}
		cell = append(cell, '"')
		r.rest = r.rest[1:]
	}
	if after := r.readPlain(); strings.TrimSpace(after) != "" {
		r.addProblem(after, "a separator after the closing quote")
	}
	return string(cell)
}

func (r *csvReader) endsCell(c byte) bool {
	return c == r.delimiter || c == '\n' || c == '\r'
}

func (r *csvReader) skipEnd() (more bool) {
	if len(r.rest) == 0 {
		return false
	}
	end := r.rest[0]
	r.rest = r.rest[1:]
	if end == '\r' && len(r.rest) > 0 && r.rest[0] == '\n' {
		r.rest = r.rest[1:]
	}
	return end == r.delimiter
}

func (r *csvReader) addProblem(found, expected string) {
	r.table.addProblem(Problem{Row: r.number, Found: quoteShortened(found), Expected: expected})
}
