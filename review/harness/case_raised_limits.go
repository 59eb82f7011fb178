package main

import (
	"net/http"
	"strings"
	"time"

	"github.com/vanillagate/vanillagate/platform/standin"
)

func init() { cases["raised-limits"] = raisedLimits }

// raisedLimits has the operator raise the limits of requests, and clients use what the new version allows.
func raisedLimits(r *record, folder string, trouble bool) (int, error) {
	d, err := startDeployment(folder, 3, nil)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	bodyBytes, headerBytes := 900<<10, 12<<10 // within the limits of the first version
	if trouble {
		d.Publish(func(config map[string]any) {
			limits := config["limits"].(map[string]any)
			limits["max-body-bytes"], limits["max-header-bytes"] = 12<<20, 32<<10
		})
		r.line("a version with larger limits is acknowledged")
		bodyBytes, headerBytes = 10<<20, 24<<10
	}
	time.Sleep(applyTime + time.Second)
	denied, sent := 0, 0
	for try := range 24 {
		id := newID()
		lines := []headerLine{{"X-Attempt-Id", id}, {"X-Api-Key", standin.TeamKey}, {"X-Deadline-Ms", "1900"}}
		body := "booking"
		if try%2 == 0 {
			body = strings.Repeat("b", bodyBytes)
		} else {
			lines = append(lines, headerLine{"X-Note", strings.Repeat("n", headerBytes)})
		}
		got := send(d.vms[try%len(d.vms)].RequestAddress(), "/book/x", lines, body, 5*time.Second, nil)
		sent++
		r.line("request %s with a body of %d bytes and %d header lines answered %d, %v", id, len(body), len(lines), got.status, got.err)
		if got.status >= http.StatusMultipleChoices && got.status < http.StatusInternalServerError && got.status != http.StatusTooManyRequests {
			denied++
		}
	}
	allowed := 5 + sent/500
	r.line("denied %d of %d, allowed %d", denied, sent, allowed)
	return max(denied-allowed, 0), nil
}
