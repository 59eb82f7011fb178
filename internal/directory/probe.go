package directory

import (
	"context"
	"net"
	"time"

	"github.com/vanillagate/vanillagate/internal/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const (
	// probeTimeout bounds the probe of one target.
	probeTimeout = 500 * time.Millisecond
	// reportMaxAge is the age after which a load report is fetched again. Reports
	// that arrive with answers are usually younger.
	reportMaxAge = time.Second
)

// Probe runs one round of probes: it connects to the targets that are down and
// fetches stale load reports, one target at a time.
func (t *Table) Probe(ctx context.Context, client *target.Client) {
	for _, p := range t.allPools() {
		p.probeDown(ctx)
		if t.opts.FetchReports {
			p.fetchReports(ctx, client)
		}
	}
}

func (p *Pool) addresses(pick func(*targetState) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for _, e := range p.subset {
		if pick(e) {
			list = append(list, e.vm.Address)
		}
	}
	return list
}

func (p *Pool) probeDown(ctx context.Context) {
	for _, address := range p.addresses(func(e *targetState) bool { return e.down }) {
		d := net.Dialer{Timeout: probeTimeout}
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			continue
		}
		_ = conn.Close()
		p.markUp(address, time.Now())
	}
}

// markUp returns a target to use. Its weight rises gradually, like that of a
// target that returns from ejection.
func (p *Pool) markUp(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.targets[address]; e != nil && e.down {
		e.down = false
		e.health.FailuresInRow = 0
		e.health.Calls = 0
		e.health.CallTime = 0
		e.health.ReturnedAt = now
	}
}

func (p *Pool) fetchReports(ctx context.Context, client *target.Client) {
	now := time.Now()
	stale := p.addresses(func(e *targetState) bool { return !e.down && now.Sub(e.reportAt) > reportMaxAge })
	for _, address := range stale {
		report, ok := fetchReport(ctx, client, address)
		if !ok {
			continue
		}
		p.mu.Lock()
		if e := p.targets[address]; e != nil {
			e.setReport(report, time.Now())
		}
		p.mu.Unlock()
	}
}

func fetchReport(ctx context.Context, client *target.Client, address string) (*targetapi.LoadReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := client.Do(ctx, target.Call{
		Address: address, Method: "GET", Path: targetapi.PathLoad, NewConnection: true,
	})
	if err != nil || answer.Status != 200 {
		return nil, false
	}
	report := target.ParseLoadJSON(answer.Body)
	return report, report != nil
}
