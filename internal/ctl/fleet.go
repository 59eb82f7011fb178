package ctl

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

const (
	flagMetrics = "metrics"
	// metricsTimeout is how long reading the metrics of one VM may take. A VM
	// that takes longer is shown with the error.
	metricsTimeout = 2 * time.Second
)

// fleet is the state of all VMs according to their metrics.
type fleet struct {
	VMs []vmView `json:"vms"`
	// Refusals counts the answers that the VMs gave themselves, without a target,
	// by reason and over all VMs.
	Refusals map[string]int64 `json:"refusals"`
	// Services holds each service as seen by the VM with the most of its targets
	// out of use.
	Services map[string]serviceView `json:"services"`
	// Zones holds the availability zones of targets.
	Zones map[string]zoneView `json:"zones"`
}

// zoneView is the state of an availability zone over all VMs.
type zoneView struct {
	// Revision is the revision of the order to evacuate the zone, 0 if none is in
	// force at any VM.
	Revision int64 `json:"evacuated_revision"`
	// EvacuatedAt is the number of VMs at which that order is in force.
	EvacuatedAt int `json:"evacuated_at"`
	// Calls is the number of calls in progress at the zone's targets.
	Calls int64 `json:"calls"`
}

// vmView is the state of one VM. If Problem is not empty, only Address is set.
type vmView struct {
	Address string `json:"address"`
	Problem string `json:"problem,omitempty"`
	// Members is the number of processes that the VM knows, including itself.
	Members int64 `json:"members"`
	// Configuration is the version in force, Targets the revision of the list of
	// targets.
	Configuration int64 `json:"configuration"`
	Targets       int64 `json:"targets"`
	InFlight      int64 `json:"in_flight"`
	// Answers counts the answers that came from targets, OwnAnswers those that
	// the VM gave itself, both since its start.
	Answers    int64 `json:"answers"`
	OwnAnswers int64 `json:"own"`
	// StoreSilentMS is how long the store has not answered the VM, 0 if it answers.
	StoreSilentMS int64 `json:"store_silent_ms"`
}

// serviceView is the state of a service's targets.
type serviceView struct {
	Targets  int64 `json:"targets"`
	OutOfUse int64 `json:"out"`
	// Cold counts the targets that were started recently and get fewer requests
	// for some seconds.
	Cold int64 `json:"cold"`
	// RetriesLeft is the smallest number of retries that any VM has left.
	RetriesLeft int64 `json:"repeats_left"`
}

// showFleet shows the state of the VMs from their metrics. It needs no operator's
// key, because the metrics are readable without one.
func (a *app) showFleet(ctx context.Context, cmd *cli.Command) error {
	addresses := strings.Split(cmd.String(flagMetrics), ",")
	f := readFleet(ctx, addresses)
	if err := a.print(cmd, f, f.write); err != nil {
		return err
	}
	for _, vm := range f.VMs {
		if vm.Problem == "" {
			return nil
		}
	}
	return eris.New("the metrics of no VM could be read")
}

func readFleet(ctx context.Context, addresses []string) *fleet {
	f := &fleet{VMs: make([]vmView, len(addresses)), Refusals: map[string]int64{}, Services: map[string]serviceView{}, Zones: map[string]zoneView{}}
	var mu sync.Mutex // guards f while VMs are read concurrently
	var all sync.WaitGroup
	for i, address := range addresses {
		all.Go(func() {
			series, err := readSeries(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			f.VMs[i].Address = address
			if err != nil {
				f.VMs[i].Problem = err.Error()
				return
			}
			f.addVM(&f.VMs[i], series)
		})
	}
	all.Wait()
	return f
}

// readSeries reads the metrics of one VM. The keys are the names with labels.
// Values that are not whole numbers, which are those of the quantiles, are left out.
func readSeries(ctx context.Context, address string) (map[string]int64, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if !strings.Contains(address, "/") {
		address += "/metrics"
	}
	request.SetRequestURI("http://" + address)
	deadline := time.Now().Add(metricsTimeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	if err := fasthttp.DoDeadline(request, response, deadline); err != nil {
		return nil, eris.Wrap(err, "read metrics")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, eris.Errorf("metrics: status %d", response.StatusCode())
	}
	series := map[string]int64{}
	lines := bufio.NewScanner(bytes.NewReader(response.Body()))
	for lines.Scan() {
		separator := strings.LastIndexByte(lines.Text(), ' ')
		if separator < 0 {
			continue
		}
		if value, err := strconv.ParseInt(lines.Text()[separator+1:], 10, 64); err == nil {
			series[lines.Text()[:separator]] = value
		}
	}
	return series, lines.Err()
}

// addVM fills in vm from its metrics and adds them to the totals.
func (f *fleet) addVM(vm *vmView, series map[string]int64) {
	vm.Members = series["vanillagate_members"]
	vm.Configuration = series["vanillagate_plan_version"]
	vm.Targets = series["vanillagate_targets_revision"]
	vm.InFlight = series["vanillagate_requests_in_flight"]
	vm.Answers = series[`vanillagate_answers{by="target"}`]
	vm.OwnAnswers = series[`vanillagate_answers{by="this process"}`]
	vm.StoreSilentMS = max(series["vanillagate_store_configuration_silent_ms"], series["vanillagate_store_targets_silent_ms"])
	for name, value := range series {
		if reason, found := labelValue(name, "vanillagate_own_answers", "reason"); found {
			f.Refusals[reason] += value
		}
		f.addZoneSeries(name, value)
		service, found := labelValue(name, "vanillagate_service_targets", "service")
		if !found {
			continue
		}
		label := `{service="` + service + `"}`
		view := serviceView{
			Targets: value, OutOfUse: series["vanillagate_service_targets_out"+label],
			Cold:        series["vanillagate_service_targets_cold"+label],
			RetriesLeft: series["vanillagate_service_repeats_left"+label],
		}
		if previous, known := f.Services[service]; known {
			view = mergeServiceViews(previous, view)
		}
		f.Services[service] = view
	}
}

// addZoneSeries adds a series to the zone's totals if it is about a zone.
func (f *fleet) addZoneSeries(name string, value int64) {
	if zone, found := labelValue(name, "vanillagate_zone_calls", "zone"); found {
		view := f.Zones[zone]
		view.Calls += value
		f.Zones[zone] = view
	}
	if zone, found := labelValue(name, "vanillagate_zone_evacuated_revision", "zone"); found && value > 0 {
		view := f.Zones[zone]
		view.EvacuatedAt++
		view.Revision = max(view.Revision, value)
		f.Zones[zone] = view
	}
}

// mergeServiceViews returns the view with more targets out of use, with the lower
// RetriesLeft of both. With equally many out of use, it is the view with fewer targets.
func mergeServiceViews(a, b serviceView) serviceView {
	chosen := a
	if b.OutOfUse > a.OutOfUse || (b.OutOfUse == a.OutOfUse && b.Targets < a.Targets) {
		chosen = b
	}
	chosen.RetriesLeft = min(a.RetriesLeft, b.RetriesLeft)
	return chosen
}

// labelValue returns the value of a label if series has the given name and this
// label only.
func labelValue(series, name, label string) (value string, found bool) {
	rest, found := strings.CutPrefix(series, name+"{"+label+"=")
	if !found {
		return "", false
	}
	value, err := strconv.Unquote(strings.TrimSuffix(rest, "}"))
	return value, err == nil
}

// write prints the VMs as a table, so that differences between them stand out, and
// then the services, the zones and the VMs' own answers.
func (f *fleet) write(w io.Writer) {
	fmt.Fprintln(w, "VM\tMEMBERS\tCONFIGURATION\tTARGETS\tIN FLIGHT\tANSWERS\tOWN ANSWERS\tSTORE")
	for _, vm := range f.VMs {
		if vm.Problem != "" {
			fmt.Fprintf(w, "%s\t%s\n", vm.Address, vm.Problem)
			continue
		}
		store := "answers"
		if vm.StoreSilentMS > 0 {
			store = "silent for " + (time.Duration(vm.StoreSilentMS) * time.Millisecond).String()
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", vm.Address, vm.Members, vm.Configuration, vm.Targets,
			vm.InFlight, vm.Answers, vm.OwnAnswers, store)
	}
	fmt.Fprintln(w, "\nSERVICE\tTARGETS\tOUT OF USE\tCOLD\tRETRIES LEFT")
	for _, name := range slices.Sorted(maps.Keys(f.Services)) {
		s := f.Services[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", name, s.Targets, s.OutOfUse, s.Cold, s.RetriesLeft)
	}
	fmt.Fprintln(w, "\nZONE OF TARGETS\tCALLS IN PROGRESS\tEVACUATED")
	for _, name := range slices.Sorted(maps.Keys(f.Zones)) {
		z := f.Zones[name]
		evacuated := "no"
		if z.Revision > 0 {
			evacuated = fmt.Sprintf("since revision %d, at %d VMs", z.Revision, z.EvacuatedAt)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\n", name, z.Calls, evacuated)
	}
	fmt.Fprintln(w, "\nREASON OF OWN ANSWERS\tCOUNT")
	for _, reason := range slices.Sorted(maps.Keys(f.Refusals)) {
		fmt.Fprintf(w, "%s\t%d\n", reason, f.Refusals[reason])
	}
}
