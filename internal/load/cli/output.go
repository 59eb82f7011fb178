package cli

import (
	"fmt"
	"os"

	"github.com/vanillagate/vanillagate/internal/load/caller"
	"github.com/vanillagate/vanillagate/internal/load/report"
)

// writeFiles writes the JSON and CSV files that the settings ask for.
func writeFiles(options runSettings, summary report.Summary, results []caller.Result) error {
	if options.jsonFile != "" {
		if err := report.WriteJSON(options.jsonFile, summary); err != nil {
			return err
		}
	}
	if options.csvFile != "" {
		return report.WriteCSV(options.csvFile, results)
	}
	return nil
}

// printDetails prints the lines that precede the result line.
func printDetails(s report.Summary) {
	for _, line := range s.DetailLines() {
		fmt.Fprintln(os.Stdout, line)
	}
}
