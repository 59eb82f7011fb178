package cli

import (
	"fmt"
	"os"

	"github.com/vanillagate/vanillagate/internal/load/caller"
	"github.com/vanillagate/vanillagate/internal/load/report"
)

func writeFiles(set runSettings, summary report.Summary, results []caller.Result) error {
	if set.jsonFile != "" {
		if err := report.WriteJSON(set.jsonFile, summary); err != nil {
			return err
		}
	}
	if set.csvFile != "" {
		return report.WriteCSV(set.csvFile, results)
	}
	return nil
}

// printDetails writes what the last line leaves out.
func printDetails(s report.Summary) {
	for _, line := range s.DetailLines() {
		fmt.Fprintln(os.Stdout, line)
	}
}
