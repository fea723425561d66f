package sheet

import (
	"archive/zip"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io/fs"
	"math"
	"math/rand/v2"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/xuri/excelize/v2"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// validRows is a valid sheet. The customer and class rows leave optional cells empty.
var validRows = [][]string{
	columns,
	{"customer", "kroon", "12.5", "20", "3", tokenDigest("kroon")},
	{"customer", "Åhus lager", "0.3", "", "", tokenDigest("ahus")},
	{"class", "urgent", "", "", "", "", "0", "0.53", "2"},
	{"class", "deferrable", "", "", "", "", "5", "30", "60"},
	{"rule", "", "", "", "", "", "", "", "", "*", "taalmodel", "*", "urgent", "idempotent"},
	{"rule", "", "", "", "", "", "", "", "", "*", "koppel-app", "*", "urgent", "once-only"},
	{"rule", "", "", "", "", "", "", "", "", "*", "koppel-app", "/schedule", "deferrable", "idempotent"},
	{"rule", "", "", "", "", "", "", "", "", "kroon", "koppel-app", "*", "deferrable", "once-only"},
}

func tokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func formatCSV(rows [][]string, delimiter, end string) []byte {
	var text strings.Builder
	for _, cells := range rows {
		text.WriteString(strings.Join(cells, delimiter) + end)
	}
	return []byte(text.String())
}

// editedCSV returns validRows as CSV after replacing one cell. number is the row as in the spreadsheet, from 1.
func editedCSV(number int, column, text string) string {
	rows := make([][]string, len(validRows))
	for i, cells := range validRows {
		rows[i] = append(append([]string{}, cells...), make([]string, len(columns)-len(cells))...)
	}
	for i, name := range columns {
		if name == column {
			rows[number-1][i] = text
		}
	}
	return string(formatCSV(rows, ";", "\r\n"))
}

func formatWorkbook(t testing.TB, rows [][]string) []byte {
	file := excelize.NewFile()
	for r, cells := range rows {
		for c, text := range cells {
			name, err := excelize.CoordinatesToCellName(c+1, r+1)
			assert.NilError(t, err)
			var value any = text
			var number float64
			if _, err := fmt.Sscanf(text+" end", "%g end", &number); err == nil && len(text) < 10 {
				value = number
			}
			if text != "" {
				assert.NilError(t, file.SetCellValue("Sheet1", name, value))
			}
		}
	}
	var buffer bytes.Buffer
	assert.NilError(t, file.Write(&buffer))
	return buffer.Bytes()
}

// repackWorkbook edits the XML of the first worksheet.
func repackWorkbook(t testing.TB, workbook []byte, edit func(worksheet []byte) []byte) []byte {
	archive, err := zip.NewReader(bytes.NewReader(workbook), int64(len(workbook)))
	assert.NilError(t, err)
	var buffer bytes.Buffer
	writer := zip.NewWriter(&buffer)
	for _, file := range archive.File {
		data, err := fs.ReadFile(archive, file.Name)
		assert.NilError(t, err)
		if file.Name == "xl/worksheets/sheet1.xml" {
			data = edit(data)
		}
		part, err := writer.Create(file.Name)
		assert.NilError(t, err)
		_, err = part.Write(data)
		assert.NilError(t, err)
	}
	assert.NilError(t, writer.Close())
	return buffer.Bytes()
}

func mustParse(t testing.TB, name string, data []byte) *Sheet {
	s, problems, err := Parse(name, data)
	assert.NilError(t, err)
	assert.Equal(t, len(problems), 0, "%v", problems)
	return s
}

// Guards against a digest that depends on the program and settings with which the sheet was exported. Each export would then
// be a new configuration.
func TestDigestIsTheSameForEveryExport(t *testing.T) {
	plain := formatCSV(validRows, ",", "\n")
	want := mustParse(t, "a.csv", plain).Digest()
	semicolons := string(formatCSV(validRows, ";", "\r\n"))
	commas := strings.NewReplacer("12.5", "12,5", ";0.3;", ";0,30;", "0.53", "0,53").Replace(semicolons)
	reversed := make([][]string, len(validRows))
	for i, cells := range validRows {
		for j := range columns {
			text := ""
			if k := len(columns) - 1 - j; k < len(cells) {
				text = cells[k]
			}
			reversed[i] = append(reversed[i], `"`+text+`"`)
		}
	}
	exports := []struct {
		name string
		data []byte
	}{
		{"semicolon.csv", []byte(semicolons)},
		{"decimal-comma.CSV", []byte(commas)},
		{"quoted-decimal-comma.csv", bytes.ReplaceAll(plain, []byte("12.5"), []byte(`"12,5"`))},
		{"byte-order-mark.csv", append([]byte("\xef\xbb\xbf"), commas...)},
		{"trailing-rows.csv", append(formatCSV(validRows, ";", "\r"), ";;;;\r\r;\r"...)},
		{"columns-reversed-quoted.csv", formatCSV(reversed, ",", "\r\n")},
		{"capitalised.csv", []byte("K" + strings.ReplaceAll(string(plain[1:]), "\nclass", "\n Class "))},
		{"workbook.xlsx", formatWorkbook(t, validRows)},
	}
	for _, export := range exports {
		assert.Equal(t, mustParse(t, export.name, export.data).Digest(), want, export.name)
	}
	moved := append([][]string{columns, {}}, validRows[1:]...)
	assert.Assert(t, mustParse(t, "moved.csv", formatCSV(moved, ",", "\n")).Digest() != want, "rule rows are part of the digest")
	for _, name := range []string{"moved.xlsx", "moved.csv"} {
		data := formatCSV(moved, ",", "\n")
		if name == "moved.xlsx" {
			data = formatWorkbook(t, moved)
		}
		assert.Equal(t, mustParse(t, name, data).Rules[0].Row, 7, "an empty row counts in %s", name)
	}
}

// Guards against a wrong rule for a request, for example one that makes a once-only request repeatable.
func TestMatchPrefersTheMostSpecificRule(t *testing.T) {
	s := mustParse(t, "a.csv", formatCSV(validRows, ",", "\n"))
	decoded, err := Decode(s.Encode())
	assert.NilError(t, err)
	cases := []struct {
		customer          unit.CustomerID
		target, operation string
		row               int
	}{
		{"Åhus lager", "koppel-app", "/confirm", 7},
		{"Åhus lager", "koppel-app", "/schedule", 8},
		{"Åhus lager", "koppel-app", "/x/../schedule/", 8},
		{"kroon", "koppel-app", "/schedule", 9},
		{"kroon", "taalmodel", "/v1/completions", 6},
		{"kroon", "yard-app", "/confirm", 0},
	}
	for _, sheet := range []*Sheet{s, decoded} {
		for _, c := range cases {
			rule, class, ok := sheet.Match(c.customer, c.target, c.operation)
			assert.Equal(t, rule.Row, c.row, "%v", c)
			assert.Equal(t, ok, c.row != 0)
			assert.Equal(t, class.Name, rule.Class)
		}
		customer, ok := sheet.Authenticate("ahus")
		assert.Assert(t, ok)
		assert.DeepEqual(t, customer, Customer{ID: "Åhus lager", Limit: 0.3, Burst: 1, Weight: 1, TokenDigest: tokenDigest("ahus")})
		class, _ := sheet.Class("urgent")
		assert.DeepEqual(t, class, Class{Name: "urgent", Deadline: 530 * time.Millisecond, MaxWait: 2 * time.Second})
		_, ok = sheet.Customer("nobody")
		assert.Assert(t, !ok)
	}
}

// Guards against a mistake in a sheet that is accepted, or that is reported for another row or column.
func TestParseReportsEachProblem(t *testing.T) {
	first := strings.Split(string(formatCSV(validRows, ";", "\n")), "\n")
	long := strings.Repeat("n", maxNameLength+1)
	cases := []struct {
		data, want string
	}{
		{"", "row 1, column kind: found an empty file"},
		{"\xff\xfek\x00", "row 1: found UTF-16 text"},
		{strings.Replace(editedCSV(2, "", ""), "burst;", "bursts;", 1), `row 1, column bursts: found the unknown column "bursts"`},
		{strings.Replace(editedCSV(2, "", ""), "burst;", "", 1), "row 1, column burst: found no such column"},
		{strings.Replace(editedCSV(2, "", ""), "burst;", "weight;", 1), "row 1, column weight: found the column twice"},
		{first[0], "row 1, column kind: found no row of kind customer"},
		{strings.Join(first[:4], "\n"), "row 1, column kind: found no row of kind rule"},
		{editedCSV(2, "kind", "klant"), `row 2, column kind: found "klant", expected customer, class or rule`},
		{editedCSV(2, "urgency", "1"), `row 2, column urgency: found "1", expected an empty cell`},
		{editedCSV(2, "name", ""), "row 2, column name: found an empty cell"},
		{editedCSV(2, "name", "*"), `row 2, column name: found "*"`},
		{editedCSV(2, "name", "e\u0301"), "row 2, column name"},
		{editedCSV(2, "name", long), "row 2, column name"},
		{editedCSV(2, "name", "\xe5hus"), `row 2: found "�hus", expected UTF-8`},
		{editedCSV(2, "name", `"kroon"x`), `row 2: found "x", expected a separator after the closing quote`},
		{editedCSV(9, "repeat", `"once`), `row 9: found "once\r\n", expected a closing quote`},
		{editedCSV(3, "name", "kroon"), `row 3, column name: found "kroon" again, first in row 2`},
		{editedCSV(3, "token-digest", tokenDigest("kroon")), "row 3, column token-digest: found"},
		{editedCSV(2, "token-digest", "secret"), `row 2, column token-digest: found "secret"`},
		{editedCSV(2, "limit-per-second", ""), "row 2, column limit-per-second: found an empty cell"},
		{editedCSV(2, "limit-per-second", "0"), `row 2, column limit-per-second: found "0", expected a number from 0.001 to 1000000`},
		{editedCSV(2, "limit-per-second", "1.500"), `row 2, column limit-per-second: found "1.500", expected a number from 0.001 to 1000000, without`},
		{editedCSV(2, "limit-per-second", "1.000,5"), `row 2, column limit-per-second: found "1.000,5"`},
		{editedCSV(2, "limit-per-second", "1E9"), `row 2, column limit-per-second: found "1E9"`},
		{editedCSV(2, "burst", "0,5"), `row 2, column burst: found "0,5"`},
		{editedCSV(2, "weight", "1,5"), `row 2, column weight: found "1,5", expected a whole number from 1 to 1000`},
		{editedCSV(4, "urgency", "10"), `row 4, column urgency: found "10", expected a whole number from 0 to 9`},
		{editedCSV(4, "deadline-seconds", "-1"), `row 4, column deadline-seconds: found "-1"`},
		{editedCSV(4, "max-wait-seconds", "#N/A"), `row 4, column max-wait-seconds: found "#N/A"`},
		{editedCSV(5, "name", "urgent"), `row 5, column name: found "urgent" again, first in row 4`},
		{editedCSV(6, "customer", "korn"), `row 6, column customer: found "korn", expected * or a customer`},
		{editedCSV(6, "class", "fast"), `row 6, column class: found "fast", expected a class`},
		{editedCSV(6, "target", ""), "row 6, column target: found an empty cell"},
		{editedCSV(6, "operation", "/a/"), `row 6, column operation: found "/a/"`},
		{editedCSV(6, "repeat", "twice"), `row 6, column repeat: found "twice", expected idempotent or once-only`},
		{editedCSV(8, "operation", "*"), "row 8, column operation: found a rule that matches the same requests as the rule in row 7"},
		{editedCSV(6, "repeat", "idempotent;x"), `row 6: found "x" beyond the last column`},
		{editedCSV(6, "repeat", "idempotent"+strings.Repeat(";", maxCells)+"y"), `row 6: found "y", expected at most 64 cells`},
		{"\r\n\r\n\"kind\nx\"\r\n", `row 3, column kind`},
	}
	for _, c := range cases {
		s, problems, err := Parse("a.csv", []byte(c.data))
		assert.NilError(t, err)
		assert.Assert(t, s == nil, "accepted, want %s", c.want)
		var lines []string
		for _, p := range problems {
			lines = append(lines, p.String())
		}
		all := "\n" + strings.Join(lines, "\n")
		assert.Assert(t, strings.Contains(all, "\n"+c.want), "got %s\nwant %s", all, c.want)
	}
}

// Guards against a report that ends at the first problem, so that the planner needs another export for each mistake.
func TestParseReportsAllProblemsAtOnce(t *testing.T) {
	data := editedCSV(2, "weight", "x")
	data = strings.Replace(data, ";0.53;2;", ";zero;-2;", 1)
	data = strings.Replace(data, "*;taalmodel;*;urgent;", "*;taalmodel;*;slow;", 1)
	_, problems, err := Parse("a.csv", []byte(data))
	assert.NilError(t, err)
	var places []string
	for _, p := range problems {
		places = append(places, fmt.Sprint(p.Row, p.Column))
	}
	assert.DeepEqual(t, places, []string{"2weight", "4deadline-seconds", "4max-wait-seconds", "6class"})
}

// Guards against files that exhaust the memory, or that fail without an error of a known type.
func TestParseRefusesUnreadableFiles(t *testing.T) {
	workbook := formatWorkbook(t, validRows)
	var bomb bytes.Buffer
	writer := zip.NewWriter(&bomb)
	_, err := writer.CreateRaw(&zip.FileHeader{Name: "xl/worksheets/sheet1.xml", UncompressedSize64: maxUnpackedBytes + 1})
	assert.NilError(t, err)
	assert.NilError(t, writer.Close())
	cases := []struct {
		name, want string
		data       []byte
	}{
		{"a.ods", "citronglade.bad-input", nil},
		{"a.xlsx", "citronglade.bad-input", []byte("kind;name")},
		{"a.xlsx", "citronglade.bad-input", workbook[:len(workbook)/2]},
		{"a.xlsx", "citronglade.too-large", bomb.Bytes()},
		{"a.csv", "citronglade.too-large", make([]byte, MaxSize+1)},
	}
	for _, c := range cases {
		s, _, err := Parse(c.name, c.data)
		assert.ErrorContains(t, err, c.want)
		assert.Assert(t, s == nil)
	}
}

// largeSheet returns a CSV file with 30,000 customers, every tenth of which has two rules of its own.
func largeSheet() []byte {
	random := rand.New(rand.NewPCG(1, 2))
	rows := append([][]string{}, validRows...)
	for i := range 30_000 {
		name := fmt.Sprintf("customer-%05d", i)
		limit := strings.Replace(formatNumber(float64(1+random.IntN(5000))/10), ".", ",", 1)
		rows = append(rows, []string{"customer", name, limit, "", "2", tokenDigest(name)})
		if i%10 == 0 {
			for _, operation := range []string{"*", "/reserve"} {
				rows = append(rows, []string{"rule", "", "", "", "", "", "", "", "", name, "yard-app", operation, "urgent", "once-only"})
			}
		}
	}
	return formatCSV(rows, ";", "\r\n")
}

// threadTime returns the processor time that the calling thread has used. Unlike wall-clock time it doesn't include the time
// that other work has the processor.
func threadTime(t *testing.T) time.Duration {
	t.Helper()
	const ofThread = 1 // RUSAGE_THREAD of Linux
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(ofThread, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against a check or a lookup whose cost grows with the square of the sheet's size. The requirement is 2 s of processor
// time on one thread. The best of up to five runs counts, because other work on the machine can slow down a run.
func TestThirtyThousandCustomersAreCheckedInTwoSeconds(t *testing.T) {
	data := largeSheet()
	best := time.Duration(math.MaxInt64)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for run := 0; run < 5 && best >= 2*time.Second; run++ {
		start := threadTime(t)
		s := mustParse(t, "large.csv", data)
		for i := range 30_000 {
			id := unit.CustomerID(fmt.Sprintf("customer-%05d", i))
			_, _, ok := s.Match(id, "yard-app", "/reserve")
			assert.Equal(t, ok, i%10 == 0)
			_, ok = s.Customer(id)
			assert.Assert(t, ok)
		}
		best = min(best, threadTime(t)-start)
	}
	t.Logf("%d bytes checked and looked up in %v", len(data), best)
	assert.Assert(t, best < 2*time.Second, "took %v", best)
}

func BenchmarkParseWorkbook(b *testing.B) {
	var rows [][]string
	for line := range strings.Lines(string(largeSheet())) {
		rows = append(rows, strings.Split(strings.TrimSpace(line), ";"))
	}
	data := formatWorkbook(b, rows)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		mustParse(b, "large.xlsx", data)
	}
}

func BenchmarkMatch(b *testing.B) {
	s := mustParse(b, "large.csv", largeSheet())
	for b.Loop() {
		s.Match("customer-01230", "yard-app", "/reserve")
	}
}
