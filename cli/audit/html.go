package audit

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
)

//go:embed report.html
var reportHTML string

var reportTemplate = template.Must(template.New("report").Parse(reportHTML))

const percent = 100

// Share returns the share of compliant VMs in percent, rounded down. The HTML report
// uses it as the width of the bar.
func (d Domain) Share() int {
	return d.Compliant * percent / d.Total
}

// HTML writes the report as one self-contained HTML page, which loads nothing from the
// network.
func (r *Report) HTML(w io.Writer) error {
	if err := reportTemplate.Execute(w, r); err != nil {
		return fmt.Errorf("audit report: %w", err)
	}
	return nil
}
