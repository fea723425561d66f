package sheet

import (
	"cmp"
	"slices"
	"strings"
)

// ChangeKind says what happened to a row.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// FieldChange is one cell that differs. Old is empty for an added row, and New for a removed row.
type FieldChange struct {
	Column string `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// Change is one customer, class or rule that differs between two sheets.
type Change struct {
	Kind    ChangeKind    `json:"kind"`
	Subject string        `json:"subject"`       // "customer", "class" or "rule"
	Name    string        `json:"name"`          // of a customer or class; customer, target and operation of a rule
	Row     int           `json:"row,omitempty"` // of a rule: in the new sheet, or in the old one if it was removed; else 0
	Fields  []FieldChange `json:"fields"`
}

// diffRow is a row of a sheet with its cells in canonical form.
type diffRow struct {
	subject, name string
	key           string // identifies the row within its subject
	number        int
	cells         []string
}

// String returns one line such as "class urgent changed: deadline-seconds 1 -> 2".
func (c Change) String() string {
	var text strings.Builder
	text.WriteString(c.Subject + " " + c.Name + " " + string(c.Kind))
	for i, f := range c.Fields {
		if i == 0 {
			text.WriteString(": ")
		} else {
			text.WriteString(", ")
		}
		text.WriteString(f.Column + " ")
		switch c.Kind {
		case Added:
			text.WriteString(f.New)
		case Removed:
			text.WriteString(f.Old)
		case Changed:
			text.WriteString(f.Old + " -> " + f.New)
		}
	}
	return text.String()
}

// Diff returns the differences between two sheets: customers, then classes, then rules, each sorted by name. A nil sheet
// counts as empty. A rule that only moved to another row isn't a change.
func Diff(old, next *Sheet) []Change {
	var changes []Change
	before, after := diffRows(old), diffRows(next)
	for len(before) > 0 || len(after) > 0 {
		order := 0
		switch {
		case len(before) == 0:
			order = 1
		case len(after) == 0:
			order = -1
		default:
			order = compareRows(before[0], after[0])
		}
		switch {
		case order < 0:
			changes = append(changes, newChange(Removed, before[0], before[0].cells, padCells()))
			before = before[1:]
		case order > 0:
			changes = append(changes, newChange(Added, after[0], padCells(), after[0].cells))
			after = after[1:]
		default:
			if !slices.Equal(before[0].cells, after[0].cells) {
				changes = append(changes, newChange(Changed, after[0], before[0].cells, after[0].cells))
			}
			before, after = before[1:], after[1:]
		}
	}
	return changes
}

func diffRows(s *Sheet) []diffRow {
	if s == nil {
		return nil
	}
	var rows []diffRow
	for _, c := range s.Customers {
		rows = append(rows, diffRow{subject: kindCustomer, name: string(c.ID), key: string(c.ID), cells: customerCells(c)})
	}
	for _, c := range s.Classes {
		rows = append(rows, diffRow{subject: kindClass, name: string(c.Name), key: string(c.Name), cells: classCells(c)})
	}
	for _, r := range s.Rules {
		parts := []string{string(r.Customer), r.Target, r.Operation}
		rows = append(rows, diffRow{
			subject: kindRule, name: strings.Join(parts, " "), key: strings.Join(parts, "\x00"), number: r.Row, cells: ruleCells(r),
		})
	}
	slices.SortStableFunc(rows, compareRows)
	return rows
}

func compareRows(a, b diffRow) int {
	order := []string{kindCustomer, kindClass, kindRule}
	return cmp.Or(
		cmp.Compare(slices.Index(order, a.subject), slices.Index(order, b.subject)),
		cmp.Compare(a.key, b.key),
	)
}

func newChange(kind ChangeKind, r diffRow, before, after []string) Change {
	change := Change{Kind: kind, Subject: r.subject, Name: r.name, Row: r.number}
	for i, column := range columns {
		isName := column == columnKind || column == columnName || (r.subject == kindRule && i >= 9 && i <= 11)
		if !isName && before[i] != after[i] {
			change.Fields = append(change.Fields, FieldChange{Column: column, Old: before[i], New: after[i]})
		}
	}
	return change
}
