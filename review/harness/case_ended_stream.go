package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/platform/standin"
)

func init() { cases["ended-stream"] = endedStream }

// endedEngines is the number of engines of the case. Two of them are a quarter of the service.
const endedEngines = 8

// endedSite holds the engines of the case. Those with an even number send their streams in chunks, the others
// end them with their connections.
type endedSite struct {
	r *record

	mu      sync.Mutex // guards what follows
	workers []*rawWorker
	running map[int]int // streams by engine; of engines whose answers have no length, those that were resumed
}

func (s *endedSite) startEngine(store *standin.Store, n int) error {
	id := fmt.Sprintf("i-llm-%d", n)
	worker, err := startRawWorker(func(c *workerConn, r *http.Request, _ []byte) bool { return s.serve(c, r, n, id) })
	if err != nil {
		return err
	}
	s.workers = append(s.workers, worker)
	store.Put("servers", id, map[string]any{
		"service": "engines", "address": worker.address(), "zone": []string{"zone-a", "zone-b", "zone-c"}[n%3], "version": "v1",
		"slot-count": 16, "state": "ready", "cold-left-ms": 0, "call-seq": 1,
	})
	return nil
}

func (s *endedSite) serve(c *workerConn, r *http.Request, n int, id string) bool {
	request := r.Header.Get("X-Attempt-Id")
	head := "X-Attempt-Id: " + request + "\r\nX-Worker-Load: 1,0,16\r\n"
	if expected := r.Header.Get("X-Expect-Worker"); expected != "" && expected != id {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Content-Length: 0\r\n\r\n")
		return err == nil
	}
	unframed := n%2 == 1
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.r.line("worker %s runs request %s after event %d, without a length: %v", id, request, first, unframed)
	if !unframed || first > 0 {
		s.count(n, 1)
		defer s.count(n, -1)
	}
	framing := "Transfer-Encoding: chunked\r\n"
	if unframed {
		framing = "Connection: close\r\n"
	}
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"X-Worker-Signature: "+id+"\r\nContent-Type: text/event-stream\r\n"+framing+"\r\n")
	for event := first + 1; event <= streamed && err == nil; event++ {
		text := standin.Event(request, event)
		if !unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, err = io.WriteString(c, text)
		time.Sleep(eventPause)
	}
	if err == nil && !unframed {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err == nil && !unframed
}

func (s *endedSite) count(n, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[n] += change
}

// busiest returns the engine of a kind with the most of these streams.
func (s *endedSite) busiest(odd int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := odd
	for n := odd; n < endedEngines; n += 2 {
		if s.running[n] > s.running[best] {
			best = n
		}
	}
	return best
}

// endedStream has an engine crash whose streams come in chunks. The streams go on at others, and one of those
// whose streams end with their connections crashes as well. A stream that the system then ends as complete
// breaks the rule if pieces are missing.
func endedStream(r *record, folder string, trouble bool) (int, error) {
	site := &endedSite{r: r, running: map[int]int{}}
	var startErr error
	d, err := startDeployment(folder, 3, func(s *standin.Site) {
		for _, engine := range s.Engines {
			s.Store.Delete("servers", engine.ID)
			engine.Stop()
		}
		for n := range endedEngines {
			if err := site.startEngine(s.Store, n); err != nil {
				startErr = err
			}
		}
	})
	if err == nil && startErr != nil {
		d.stop()
		err = startErr
	}
	if err != nil {
		return 0, err
	}
	defer d.stop()
	defer func() {
		for _, worker := range site.workers {
			worker.crash()
		}
	}()
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		broken int
	)
	for n := range 24 {
		wg.Go(func() {
			id := newID()
			got := send(d.vms[n%len(d.vms)].RequestAddress(), "/quote/x", quoteHeader(id, "1,1", 6*time.Second), "prompt", 7*time.Second, nil)
			ids := eventIDs(got.body)
			r.line("request %s answered %d, events %v, complete %v, in chunks %v", id, got.status, ids, got.err == nil, got.chunked)
			want := make([]int, 0, streamed)
			for i := range streamed {
				want = append(want, i+1)
			}
			if got.status == http.StatusOK && got.err == nil && got.chunked && !slices.Equal(ids, want) {
				mu.Lock()
				defer mu.Unlock()
				broken++
				r.line("ORDER broken: the stream of request %s ends as complete, with its last chunk, after event %d of %d", id, len(ids), streamed)
			}
		})
	}
	time.Sleep(900 * time.Millisecond)
	if trouble {
		for odd := range 2 {
			n := site.busiest(odd)
			r.line("worker i-llm-%d crashes", n)
			site.workers[n].crash()
			time.Sleep(700 * time.Millisecond)
		}
	}
	wg.Wait()
	return broken, nil
}
