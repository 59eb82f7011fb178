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
	// metricsTimeout is how long one VM may take to show its metrics; one that
	// takes longer is shown as not answering.
	metricsTimeout = 2 * time.Second
)

// fleet is what the processes of all VMs show of themselves.
type fleet struct {
	VMs []vmView `json:"vms"`
	// Refusals counts the answers of our own by reason, over all VMs.
	Refusals map[string]int64 `json:"refusals"`
	// Services as the VM sees them that has most targets out of use.
	Services map[string]serviceView `json:"services"`
	// Zones are those of targets.
	Zones map[string]zoneView `json:"zones"`
}

// zoneView is an availability zone over all VMs.
type zoneView struct {
	// Revision of the order that evacuates it, 0 where none is in force at any VM.
	Revision int64 `json:"evacuated_revision"`
	// Evacuated is at how many VMs that order is in force.
	Evacuated int `json:"evacuated_at"`
	// Calls under way at its targets.
	Calls int64 `json:"calls"`
}

// vmView is one VM. Where Problem isn't empty the rest is not known.
type vmView struct {
	Address string `json:"address"`
	Problem string `json:"problem,omitempty"`
	// Members is how many processes it knows, itself among them.
	Members int64 `json:"members"`
	// Configuration is the version in force, Targets the revision of the list.
	Configuration int64 `json:"configuration"`
	Targets       int64 `json:"targets"`
	InFlight      int64 `json:"in_flight"`
	// Answers of targets, and Own ones, since its start.
	Answers int64 `json:"answers"`
	Own     int64 `json:"own"`
	// StoreSilentMS is for how long the store hasn't answered it; 0 if it does.
	StoreSilentMS int64 `json:"store_silent_ms"`
}

// serviceView is a pool of targets.
type serviceView struct {
	Targets int64 `json:"targets"`
	Out     int64 `json:"out"`
	// Cold targets bear fewer requests for some seconds.
	Cold int64 `json:"cold"`
	// RepeatsLeft is the least that any VM may still repeat.
	RepeatsLeft int64 `json:"repeats_left"`
}

// showFleet needs no operator's key: the metrics are for whoever reaches them.
func (d *desk) showFleet(ctx context.Context, cmd *cli.Command) error {
	addresses := strings.Split(cmd.String(flagMetrics), ",")
	now := readFleet(ctx, addresses)
	if err := d.print(cmd, now, now.write); err != nil {
		return err
	}
	for _, vm := range now.VMs {
		if vm.Problem == "" {
			return nil
		}
	}
	return eris.New("no VM shows its metrics")
}

func readFleet(ctx context.Context, addresses []string) *fleet {
	f := &fleet{VMs: make([]vmView, len(addresses)), Refusals: map[string]int64{}, Services: map[string]serviceView{}, Zones: map[string]zoneView{}}
	var mu sync.Mutex // guards f while VMs are read side by side
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
			f.take(&f.VMs[i], series)
		})
	}
	all.Wait()
	return f
}

// readSeries reads one VM's metrics by name with labels. Values are whole
// numbers but for quantiles, which are left out.
func readSeries(ctx context.Context, address string) (map[string]int64, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if !strings.Contains(address, "/") {
		address += "/metrics"
	}
	request.SetRequestURI("http://" + address)
	deadline := time.Now().Add(metricsTimeout)
	if asked, ok := ctx.Deadline(); ok && asked.Before(deadline) {
		deadline = asked
	}
	if err := fasthttp.DoDeadline(request, response, deadline); err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, eris.Errorf("metrics: status %d", response.StatusCode())
	}
	series := map[string]int64{}
	lines := bufio.NewScanner(bytes.NewReader(response.Body()))
	for lines.Scan() {
		cut := strings.LastIndexByte(lines.Text(), ' ')
		if cut < 0 {
			continue
		}
		if value, err := strconv.ParseInt(lines.Text()[cut+1:], 10, 64); err == nil {
			series[lines.Text()[:cut]] = value
		}
	}
	return series, lines.Err()
}

// take adds what one VM shows.
func (f *fleet) take(vm *vmView, series map[string]int64) {
	vm.Members = series["vanillagate_members"]
	vm.Configuration = series["vanillagate_plan_version"]
	vm.Targets = series["vanillagate_targets_revision"]
	vm.InFlight = series["vanillagate_requests_in_flight"]
	vm.Answers = series[`vanillagate_answers{by="target"}`]
	vm.Own = series[`vanillagate_answers{by="this process"}`]
	vm.StoreSilentMS = max(series["vanillagate_store_configuration_silent_ms"], series["vanillagate_store_targets_silent_ms"])
	for name, value := range series {
		if reason, found := labelOf(name, "vanillagate_own_answers", "reason"); found {
			f.Refusals[reason] += value
		}
		f.takeZone(name, value)
		service, found := labelOf(name, "vanillagate_service_targets", "service")
		if !found {
			continue
		}
		label := `{service="` + service + `"}`
		seen := serviceView{
			Targets: value, Out: series["vanillagate_service_targets_out"+label],
			Cold:        series["vanillagate_service_targets_cold"+label],
			RepeatsLeft: series["vanillagate_service_repeats_left"+label],
		}
		if before, known := f.Services[service]; known {
			seen = worse(before, seen)
		}
		f.Services[service] = seen
	}
}

// takeZone adds a series about a zone.
func (f *fleet) takeZone(name string, value int64) {
	if zone, found := labelOf(name, "vanillagate_zone_calls", "zone"); found {
		seen := f.Zones[zone]
		seen.Calls += value
		f.Zones[zone] = seen
	}
	if zone, found := labelOf(name, "vanillagate_zone_evacuated_revision", "zone"); found && value > 0 {
		seen := f.Zones[zone]
		seen.Evacuated++
		seen.Revision = max(seen.Revision, value)
		f.Zones[zone] = seen
	}
}

// worse is the view with more targets out of use, and the least repeats of both.
func worse(a, b serviceView) serviceView {
	chosen := a
	if b.Out > a.Out || (b.Out == a.Out && b.Targets < a.Targets) {
		chosen = b
	}
	chosen.RepeatsLeft = min(a.RepeatsLeft, b.RepeatsLeft)
	return chosen
}

// labelOf gives the value of the only label of a series with a given name.
func labelOf(series, name, label string) (value string, found bool) {
	rest, found := strings.CutPrefix(series, name+"{"+label+"=")
	if !found {
		return "", false
	}
	value, err := strconv.Unquote(strings.TrimSuffix(rest, "}"))
	return value, err == nil
}

// write puts what differs between VMs side by side.
func (f *fleet) write(w io.Writer) {
	fmt.Fprintln(w, "VM\tMEMBERS\tCONFIGURATION\tTARGETS\tIN FLIGHT\tANSWERS\tOWN\tSTORE")
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
			vm.InFlight, vm.Answers, vm.Own, store)
	}
	fmt.Fprintln(w, "\nSERVICE\tTARGETS\tOUT OF USE\tCOLD\tREPEATS LEFT")
	for _, name := range slices.Sorted(maps.Keys(f.Services)) {
		s := f.Services[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", name, s.Targets, s.Out, s.Cold, s.RepeatsLeft)
	}
	fmt.Fprintln(w, "\nZONE OF TARGETS\tCALLS UNDER WAY\tEVACUATED")
	for _, name := range slices.Sorted(maps.Keys(f.Zones)) {
		z := f.Zones[name]
		evacuated := "no"
		if z.Revision > 0 {
			evacuated = fmt.Sprintf("since revision %d, at %d VMs", z.Revision, z.Evacuated)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\n", name, z.Calls, evacuated)
	}
	fmt.Fprintln(w, "\nANSWERS OF OUR OWN\tCOUNT")
	for _, reason := range slices.Sorted(maps.Keys(f.Refusals)) {
		fmt.Fprintf(w, "%s\t%d\n", reason, f.Refusals[reason])
	}
}
