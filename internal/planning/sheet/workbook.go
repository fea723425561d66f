package sheet

import (
	"bytes"
	"strings"

	"github.com/xuri/excelize/v2"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// maxUnpackedBytes bounds the unpacked size of a workbook, because a zip bomb of 32 MiB unpacks to 32 GiB. A sheet of 30,000
// customers unpacks to about 15 MiB.
const maxUnpackedBytes = 128 << 20

// readWorkbook reads the first worksheet of an .xlsx file. It fails with fault.BadInput or fault.TooLarge.
func readWorkbook(data []byte) (*table, error) {
	// Both limits are equal, because excelize unpacks worksheets that are larger than UnzipXMLSizeLimit to temporary files.
	file, err := excelize.OpenReader(bytes.NewReader(data), excelize.Options{
		RawCellValue:      true,
		UnzipSizeLimit:    maxUnpackedBytes,
		UnzipXMLSizeLimit: maxUnpackedBytes,
	})
	if err != nil {
		if strings.Contains(err.Error(), "unzip size exceeds") {
			return nil, fault.TooLarge.Wrap(err, "the workbook unpacks to more than %d bytes", maxUnpackedBytes)
		}
		return nil, fault.BadInput.Wrap(err, "cannot read the workbook")
	}
	defer func() { _ = file.Close() }()
	names := file.GetSheetList()
	if len(names) == 0 {
		return nil, fault.BadInput.New("the workbook has no worksheet")
	}
	rows, err := file.Rows(names[0])
	if err != nil {
		return nil, fault.BadInput.Wrap(err, "cannot read worksheet %q", names[0])
	}
	defer func() { _ = rows.Close() }()
	return collectRows(rows)
}

func collectRows(rows *excelize.Rows) (*table, error) {
	t := &table{decimalPoint: true}
	for number := 1; rows.Next(); number++ {
		cells, err := rows.Columns()
		if err != nil {
			return nil, fault.BadInput.Wrap(err, "cannot read row %d", number)
		}
		next := row{Number: number}
		for i, cell := range cells {
			cell = strings.TrimSpace(cell)
			switch {
			case i < maxCells:
				next.Cells = append(next.Cells, cell)
			case cell != "":
				t.addProblem(Problem{Row: number, Found: quoteShortened(cell), Expected: tooManyCells})
			}
		}
		if next.isEmpty() {
			continue
		}
		if len(t.rows) == maxRows {
			t.addProblem(tooManyRowsProblem(number))
			break
		}
		t.rows = append(t.rows, next)
	}
	if err := rows.Error(); err != nil {
		return nil, fault.BadInput.Wrap(err, "cannot read the worksheet")
	}
	return t, nil
}
