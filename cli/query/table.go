package query

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// table prints rows of text in aligned columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(out io.Writer, headings ...string) *table {
	t := &table{w: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
	t.addRow(headings...)
	return t
}

func (t *table) addRow(cells ...string) {
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) flush() error {
	return t.w.Flush()
}

// orDash returns s, or "-" if it is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
