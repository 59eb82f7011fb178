package bench

import (
	"html/template"
	"os"
	"path/filepath"
	"slices"

	"github.com/vanillagate/vanillagate/internal/load/report"
)

// page is the data of pageTemplate, with drawings as SVG.
type page struct {
	Overview  []template.HTML
	Scenarios []scenarioPage
}

type scenarioPage struct {
	Name, About, Shape string
	Rows               []Row
	OverTime           template.HTML
}

// pageTemplate renders the report with inline SVG charts and tables.
var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>vanillagate bench</title>
<style>
body{font:15px/1.4 system-ui,sans-serif;margin:2em auto;max-width:75em;padding:0 1em}
table{border-collapse:collapse;margin:1em 0}
th,td{padding:.2em .7em;text-align:right;border-bottom:1px solid #ccc}
th:first-child,td:first-child{text-align:left}
tr.present{font-weight:600}
svg{max-width:100%;height:auto}
</style></head><body>
<h1>vanillagate bench</h1>
<p>Each scenario was run under every policy with the same seeds and faults. Figures are medians over the seeds, with the
lowest and highest attainment. Attainment is the share of requests answered once, whole and in time; latency counts from
the scheduled arrival; cost is target time in microseconds for each attained request. Ratios are the present policy's
figure divided by that row's, seed by seed.</p>
{{range .Overview}}{{.}}{{end}}
{{range .Scenarios}}
<h2>{{.Name}}</h2>
<p>{{.About}} Deployment: {{.Shape}}.</p>
<table><tr><th>policy</th><th>attainment</th><th>low</th><th>high</th><th>p50 ms</th><th>p95 ms</th><th>cost µs</th>
<th>attainment ratio</th><th>cost ratio</th><th>lost</th><th>doubled</th><th>crossed</th><th>seeds</th></tr>
{{range .Rows}}<tr{{if eq .Policy "present"}} class="present"{{end}}><td>{{.Policy}}</td>
<td>{{printf "%.4f" .Attainment.Median}}</td><td>{{printf "%.4f" .Attainment.Low}}</td><td>{{printf "%.4f" .Attainment.High}}</td>
<td>{{printf "%.1f" .P50.Median}}</td><td>{{printf "%.1f" .P95.Median}}</td><td>{{printf "%.0f" .Cost.Median}}</td>
<td>{{printf "%.3f" .AttainmentRatio.Median}}</td><td>{{printf "%.3f" .CostRatio.Median}}</td>
<td>{{.Lost}}</td><td>{{.Doubled}}</td><td>{{.Crossed}}</td><td>{{len .Runs}}</td></tr>
{{end}}</table>
{{.OverTime}}
{{end}}
</body></html>
`))

// WritePage writes the HTML report of rows, with its charts, to path.
func WritePage(path string, rows []Row) error {
	data, err := newPage(rows)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := pageTemplate.Execute(file, data); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func newPage(rows []Row) (page, error) {
	var data page
	for _, chart := range overviewCharts {
		drawing, err := report.Bars(chart.title, chart.axis, newBarChart(rows, chart.value))
		if err != nil {
			return page{}, err
		}
		data.Overview = append(data.Overview, template.HTML(drawing))
	}
	for _, name := range scenarioNames(rows) {
		scenarioRows := slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Scenario != name })
		drawing, err := report.Lines("Attainment over time, first seed", "seconds", "attainment", attainmentSeries(scenarioRows))
		if err != nil {
			return page{}, err
		}
		first := scenarioRows[0].Runs[0]
		data.Scenarios = append(data.Scenarios, scenarioPage{
			Name: name, About: first.About, Shape: first.Shape, Rows: scenarioRows, OverTime: template.HTML(drawing),
		})
	}
	return data, nil
}

// overviewChart is a bar chart that compares all scenarios and policies.
type overviewChart struct {
	title, axis string
	value       func(Row) float64
}

var overviewCharts = []overviewChart{
	{"Attainment", "share of requests", func(r Row) float64 { return r.Attainment.Median }},
	{"Latency, 95th percentile", "ms", func(r Row) float64 { return r.P95.Median }},
	{"Cost for each attained request", "target ms", func(r Row) float64 { return r.Cost.Median / 1000 }},
}

func scenarioNames(rows []Row) []string {
	var names []string
	for _, r := range rows {
		if !slices.Contains(names, r.Scenario) {
			names = append(names, r.Scenario)
		}
	}
	return names
}

// newBarChart returns a chart with a group of bars for each policy and one bar
// in it for each scenario.
func newBarChart(rows []Row, value func(Row) float64) report.BarChart {
	chart := report.BarChart{Labels: scenarioNames(rows)}
	for _, policy := range Policies {
		values := make([]float64, len(chart.Labels))
		found := false
		for _, r := range rows {
			if r.Policy == policy {
				found = true
				values[slices.Index(chart.Labels, r.Scenario)] = value(r)
			}
		}
		if found {
			chart.Groups = append(chart.Groups, report.Series{Name: policy, Y: values})
		}
	}
	return chart
}

func attainmentSeries(rows []Row) []report.Series {
	var all []report.Series
	for _, r := range rows {
		line := report.Series{Name: r.Policy}
		for _, p := range r.Runs[0].Timeline {
			if p.Requests == 0 {
				continue
			}
			line.X = append(line.X, p.Second)
			line.Y = append(line.Y, float64(p.InTime)/float64(p.Requests))
		}
		all = append(all, line)
	}
	return all
}
