package query

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const columnGap = 2

// table aligns rows of text in columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(out io.Writer, headings ...string) *table {
	t := &table{w: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
	t.row(headings...)
	return t
}

func (t *table) row(cells ...string) {
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) flush() error {
	return t.w.Flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
