package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/platform/standin"
)

func init() { cases["resume-header"] = resumeHeader }

// machines is the number of entry VMs. One of them is an eighth.
const machines = 8

// streamed is the number of events of a whole stream of the stand-in's engines.
const streamed = 12

// resumeHeader has clients read streams through one VM, whose process is killed while they do. Each client
// takes its stream up at another VM and names the last event that it has. Half of the clients write the name
// of that field as the users' page does, the others as browsers do: names of fields are case-insensitive.
func resumeHeader(r *record, folder string, trouble bool) (int, error) {
	const clients = 6
	d, err := startDeployment(folder, machines, nil)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		broken int
		halted = make(chan struct{}, clients)
	)
	for n := range clients {
		name := "Last-Event-Id"
		if n%2 == 1 {
			name = "Last-Event-ID"
		}
		wg.Go(func() {
			ids, problem := readStream(r, d, n, name, func() { halted <- struct{}{} })
			r.line("client %d (%s): events %v", n, name, ids)
			want := make([]int, 0, streamed)
			for i := range streamed {
				want = append(want, i+1)
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case problem != nil:
				r.line("client %d: not served: %v", n, problem)
			case !slices.Equal(ids, want):
				broken++
				r.line("client %d: ORDER broken: its stream isn't the events 1 to %d, each once", n, streamed)
			}
		})
	}
	for range clients {
		<-halted
	}
	if trouble {
		r.line("process of %s is killed", d.vms[0].Name)
		d.kill(0)
	}
	wg.Wait()
	for _, engine := range d.Engines {
		for _, got := range engine.ReceivedRequests() {
			r.line("worker %s ran %v: request %s, Last-Event-Id %q", engine.ID, got.Ran, got.ID, got.Header.Get("Last-Event-Id"))
		}
	}
	return broken, nil
}

// readStream reads a stream to its end and returns the ids of all events that the client got, in order. It
// calls half once some have come.
func readStream(r *record, d *deployment, n int, field string, half func()) ([]int, error) {
	var ids []int
	once := sync.OnceFunc(half)
	defer once()
	for try := range 6 {
		id := newID()
		lines := quoteHeader(id, "1,1", 6*time.Second)
		if len(ids) > 0 {
			lines = append(lines, headerLine{field, itoa(ids[len(ids)-1])})
		}
		address := d.vms[0].RequestAddress()
		if try > 0 {
			address = d.vms[1+(n+try)%(machines-1)].RequestAddress()
		}
		r.line("client %d sends %s to %s, has events %v", n, id, address, ids)
		got := send(address, "/quote"+standin.SlowPath, lines, "prompt", 7*time.Second, func(soFar string) {
			if len(eventIDs(soFar)) >= 4 {
				once()
			}
		})
		r.line("client %d: %s answered %d, events %v, complete %v", n, id, got.status, eventIDs(got.body), got.err == nil)
		if got.status == 200 {
			ids = append(ids, eventIDs(got.body)...)
			if got.err == nil {
				return ids, nil
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return ids, fmt.Errorf("no complete answer in 6 tries")
}
