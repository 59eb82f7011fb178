package directory

import (
	"context"
	"net"
	"time"

	"github.com/vanillagate/vanillagate/internal/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const (
	// probeTimeout bounds a look at one target.
	probeTimeout = 500 * time.Millisecond
	// reportMaxAge is the age at which a load report is fetched anew; reports
	// that come with answers are younger.
	reportMaxAge = time.Second
)

// Probe connects to the targets that refused and fetches the load of those
// that have not reported for a while, one round, a few at a time.
func (t *Table) Probe(ctx context.Context, client *target.Client) {
	for _, p := range t.all() {
		p.probeDown(ctx)
		if t.opts.FetchReports {
			p.fetchReports(ctx, client)
		}
	}
}

func (p *Pool) addresses(pick func(*entry) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for _, e := range p.usable {
		if pick(e) {
			list = append(list, e.vm.Address)
		}
	}
	return list
}

func (p *Pool) probeDown(ctx context.Context) {
	for _, address := range p.addresses(func(e *entry) bool { return e.down }) {
		d := net.Dialer{Timeout: probeTimeout}
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			continue
		}
		_ = conn.Close()
		p.markUp(address, time.Now())
	}
}

// markUp brings a target back, gradually like one that was ejected.
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
	stale := p.addresses(func(e *entry) bool { return !e.down && now.Sub(e.reportAt) > reportMaxAge })
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
