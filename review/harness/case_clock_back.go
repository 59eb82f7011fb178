package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/platform/standin"
)

func init() { cases["clock-back"] = clockBack }

const (
	// clockStep is by how much the clock of the worker's machine goes back.
	clockStep = 2400 * time.Millisecond
	// drainTime is drain-timeout-ms.
	drainTime = 2 * time.Second
)

// clockBack has a worker start again under its id while the clock of its machine goes back, and leave later.
func clockBack(r *record, folder string, trouble bool) (int, error) {
	const id = "i-desk-again"
	var (
		mu       sync.Mutex
		draining time.Time // when the store accepted that the worker leaves; zero before
		late     int
		worker   *rawWorker
	)
	handle := func(c *workerConn, request *http.Request, _ []byte) bool {
		attempt := request.Header.Get("X-Attempt-Id")
		header := map[string]string{"X-Attempt-Id": attempt, "X-Worker-Load": "1,0,6"}
		if expected := request.Header.Get("X-Expect-Worker"); expected != "" && expected != id {
			_, err := c.Write(answer("421 Misdirected Request", header, nil))
			return err == nil
		}
		mu.Lock()
		if !draining.IsZero() {
			after := time.Since(draining)
			if after > drainTime {
				late++
				r.line("DRAIN broken: request %s reaches worker %s %.1f s after the store accepted that it is draining", attempt, id, after.Seconds())
			}
		}
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		header["X-Worker-Signature"] = id
		_, err := c.Write(answer("200 OK", header, []byte("booked "+attempt)))
		return err == nil
	}
	d, err := startDeployment(folder, 3, nil)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	put := func(state string, born time.Time) {
		d.Store.Put("servers", id, map[string]any{
			"service": "desk", "address": worker.address(), "zone": "zone-a", "version": "v1", "slot-count": 6,
			"state": state, "cold-left-ms": 0, "call-seq": 1, "born": born.UnixMilli(),
		})
		r.line("entry of worker %s: %s at %s, born %d", id, state, worker.address(), born.UnixMilli())
	}
	if worker, err = startRawWorker(handle); err != nil {
		return 0, err
	}
	born := time.Now()
	if trouble {
		born = born.Add(clockStep)
	}
	put("ready", born)
	time.Sleep(time.Second)
	r.line("worker %s crashes", id)
	address := worker.address()
	worker.crash()
	time.Sleep(time.Second)
	if worker, err = startRawWorkerAt(address, handle); err != nil {
		return 0, err
	}
	defer func() { worker.crash() }()
	born = time.Now()
	put("ready", born)
	time.Sleep(3 * time.Second)
	mu.Lock()
	draining = time.Now()
	mu.Unlock()
	put("draining", born)
	served := 0
	for end, try := time.Now().Add(8*time.Second), 0; time.Now().Before(end); try++ {
		attempt := newID()
		lines := []headerLine{{"X-Attempt-Id", attempt}, {"X-Api-Key", standin.TeamKey}, {"X-Deadline-Ms", "1500"}}
		got := send(d.vms[try%len(d.vms)].RequestAddress(), "/book/x", lines, "booking", 3*time.Second, nil)
		if got.status == http.StatusOK {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.line("served %d", served)
	mu.Lock()
	defer mu.Unlock()
	if !trouble && late > 0 {
		return late, fmt.Errorf("requests after the drain without the disruption")
	}
	return late, nil
}
