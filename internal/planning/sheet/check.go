package sheet

import (
	"cmp"
	"slices"
	"strings"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Values of the kind column.
const (
	kindCustomer = "customer"
	kindClass    = "class"
	kindRule     = "rule"
)

// columnsOf lists the columns that a row of each kind may fill. Text in any other column is reported, because usually it is
// a value that was typed into the wrong column.
var columnsOf = map[string][]string{
	kindCustomer: {columnName, columnLimit, columnBurst, columnWeight, columnTokenDigest},
	kindClass:    {columnName, columnUrgency, columnDeadline, columnMaxWait},
	kindRule:     {columnCustomer, columnTarget, columnOperation, columnClass, columnRepeat},
}

// checker reads rows into a sheet and collects all problems. The first* maps hold the number of the row in which a name,
// token or rule occurs first.
type checker struct {
	sheet         *Sheet
	problems      []Problem
	decimalPoint  bool
	columnIndexes map[string]int
	headerWidth   int

	firstCustomer map[unit.CustomerID]int
	firstToken    map[string]int
	firstClass    map[unit.ClassName]int
	firstRule     map[matchKey]int
}

func newChecker(t *table) *checker {
	return &checker{
		sheet:         &Sheet{},
		problems:      t.problems,
		decimalPoint:  t.decimalPoint,
		columnIndexes: map[string]int{},
		firstCustomer: map[unit.CustomerID]int{},
		firstToken:    map[string]int{},
		firstClass:    map[unit.ClassName]int{},
		firstRule:     map[matchKey]int{},
	}
}

func (c *checker) report(number int, column, found, expected string) {
	if len(c.problems) < maxProblems {
		c.problems = append(c.problems, Problem{Row: number, Column: column, Found: found, Expected: expected})
	}
}

// readHeader finds the position of each column. It returns false if a column is missing or occurs twice, because the rows
// can't be checked then.
func (c *checker) readHeader(header row) bool {
	complete := true
	c.headerWidth = len(header.Cells)
	for i, cell := range header.Cells {
		// Spreadsheet programs capitalise the first letter of a cell on their own.
		name := strings.ToLower(cell)
		if name == "" {
			continue
		}
		if !slices.Contains(columns, name) {
			c.report(header.Number, name, "the unknown column "+quoteShortened(cell), "one of "+strings.Join(columns, ", "))
			continue
		}
		if _, duplicate := c.columnIndexes[name]; duplicate {
			c.report(header.Number, name, "the column twice", "each column once")
			complete = false
			continue
		}
		c.columnIndexes[name] = i
	}
	for _, name := range columns {
		if _, ok := c.columnIndexes[name]; !ok {
			c.report(header.Number, name, "no such column", "the column "+name)
			complete = false
		}
	}
	return complete
}

func (c *checker) readRow(r row) {
	f := &fields{checker: c, row: r}
	for i := c.headerWidth; i < len(r.Cells); i++ {
		if r.Cells[i] != "" {
			c.report(r.Number, "", quoteShortened(r.Cells[i])+" beyond the last column", "no text there")
		}
	}
	kind := strings.ToLower(f.text(columnKind))
	allowed, ok := columnsOf[kind]
	if !ok {
		c.report(r.Number, columnKind, quoteShortened(f.text(columnKind)), "customer, class or rule")
		return
	}
	for _, column := range columns[1:] {
		if text := f.text(column); text != "" && !slices.Contains(allowed, column) {
			c.report(r.Number, column, quoteShortened(text), "an empty cell in a row of kind "+kind)
		}
	}
	switch kind {
	case kindCustomer:
		c.readCustomer(f)
	case kindClass:
		c.readClass(f)
	case kindRule:
		c.readRule(f)
	}
}

func (c *checker) readCustomer(f *fields) {
	customer := Customer{
		ID:          unit.CustomerID(f.name(columnName)),
		Limit:       f.decimal(columnLimit, rangeOfLimit),
		TokenDigest: f.tokenDigest(),
	}
	customer.Burst = f.optionalDecimal(columnBurst, rangeOfBurst, max(1, customer.Limit))
	customer.Weight = f.optionalInteger(columnWeight, rangeOfWeight, 1)
	if customer.ID == Any {
		c.report(f.row.Number, columnName, quoteShortened(Any), "a customer's name")
	}
	if customer.ID != "" {
		if first, duplicate := c.firstCustomer[customer.ID]; duplicate {
			c.reportDuplicate(f, columnName, first, "each customer once")
		} else {
			c.firstCustomer[customer.ID] = f.row.Number
		}
	}
	if customer.TokenDigest != "" {
		if first, duplicate := c.firstToken[customer.TokenDigest]; duplicate {
			c.reportDuplicate(f, columnTokenDigest, first, "a token of its own for each customer")
		} else {
			c.firstToken[customer.TokenDigest] = f.row.Number
		}
	}
	c.sheet.Customers = append(c.sheet.Customers, customer)
}

func (c *checker) readClass(f *fields) {
	class := Class{
		Name:     unit.ClassName(f.name(columnName)),
		Urgency:  f.integer(columnUrgency, rangeOfUrgency),
		Deadline: durationOfSeconds(f.decimal(columnDeadline, rangeOfDeadline)),
		MaxWait:  durationOfSeconds(f.decimal(columnMaxWait, rangeOfMaxWait)),
	}
	if class.Name != "" {
		if first, duplicate := c.firstClass[class.Name]; duplicate {
			c.reportDuplicate(f, columnName, first, "each class once")
		} else {
			c.firstClass[class.Name] = f.row.Number
		}
	}
	c.sheet.Classes = append(c.sheet.Classes, class)
}

func (c *checker) readRule(f *fields) {
	rule := Rule{
		Row:       f.row.Number,
		Customer:  unit.CustomerID(f.name(columnCustomer)),
		Target:    f.name(columnTarget),
		Operation: f.operation(),
		Class:     unit.ClassName(f.name(columnClass)),
		Repeat:    f.repeat(),
	}
	if rule.Customer != "" && rule.Target != "" && rule.Operation != "" {
		key := matchKey{rule.Customer, rule.Target, rule.Operation}
		if first, duplicate := c.firstRule[key]; duplicate {
			c.report(rule.Row, columnOperation, "a rule that matches the same requests as the rule in row "+formatInt(first),
				"one rule for each customer, target and operation")
		} else {
			c.firstRule[key] = rule.Row
		}
	}
	c.sheet.Rules = append(c.sheet.Rules, rule)
}

func (c *checker) reportDuplicate(f *fields, column string, first int, expected string) {
	c.report(f.row.Number, column, quoteShortened(f.text(column))+" again, first in row "+formatInt(first), expected)
}

// finish makes the checks that need all rows, and sorts customers and classes into canonical order.
func (c *checker) finish(headerNumber int) {
	for _, rule := range c.sheet.Rules {
		if _, ok := c.firstCustomer[rule.Customer]; !ok && rule.Customer != Any && rule.Customer != "" {
			c.report(rule.Row, columnCustomer, quoteShortened(string(rule.Customer)), "* or a customer of this sheet")
		}
		if _, ok := c.firstClass[rule.Class]; !ok && rule.Class != "" {
			c.report(rule.Row, columnClass, quoteShortened(string(rule.Class)), "a class of this sheet")
		}
	}
	// A sheet without rows of some kind would refuse all requests. Usually it is a truncated export.
	counts := []int{len(c.sheet.Customers), len(c.sheet.Classes), len(c.sheet.Rules)}
	for i, kind := range []string{kindCustomer, kindClass, kindRule} {
		if counts[i] == 0 {
			c.report(headerNumber, columnKind, "no row of kind "+kind, "at least one")
		}
	}
	slices.SortFunc(c.sheet.Customers, func(a, b Customer) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(c.sheet.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
}
