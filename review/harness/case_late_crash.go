package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/platform/standin"
)

func init() { cases["late-crash"] = lateCrash }

const (
	poisonBody = "a prompt that crashes its worker"
	// eventPause is the time between the events of the engines of this case.
	eventPause = 200 * time.Millisecond
	// backAfter is how long a worker that crashed is gone, and lapseAfter after what silence the platform removes
	// its entry: three heartbeats of 1.2 s.
	backAfter  = 4 * time.Second
	lapseAfter = 3600 * time.Millisecond
	// contactTime is contact-ms.
	contactTime = 3 * time.Second
	// maxRetries is how many retries may reach workers later than contactTime after the third crash.
	maxRetries = 3
	engines    = 6
)

// crashSite holds the engines of the case.
type crashSite struct {
	r       *record
	store   *standin.Store
	trouble bool
	// crashAfter is how long a worker has run the request when it crashes.
	crashAfter time.Duration

	mu       sync.Mutex // guards what follows
	starts   int
	workers  map[*rawWorker]bool
	crashes  []time.Time
	arrivals []time.Time // of the request that crashes its workers
	closed   bool
}

// startEngine starts an incarnation of an engine and puts it into the list of workers.
func (s *crashSite) startEngine(n int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.starts++
	id := fmt.Sprintf("i-llm-%d-%d", n, s.starts)
	var worker *rawWorker
	var once sync.Once
	worker, err := startRawWorker(func(c *workerConn, r *http.Request, body []byte) bool {
		return s.serve(c, r, string(body), id, func() { once.Do(func() { s.crash(worker, n, id) }) })
	})
	if err != nil {
		return err
	}
	s.workers[worker] = true
	s.store.Put("servers", id, map[string]any{
		"service": "engines", "address": worker.address(), "zone": []string{"zone-a", "zone-b", "zone-c"}[n%3], "version": "v1",
		"slot-count": 16, "state": "ready", "cold-left-ms": 0, "call-seq": 1,
	})
	s.r.line("worker %s starts", id)
	return nil
}

// crash ends an incarnation. Its entry lapses, and another one starts.
func (s *crashSite) crash(worker *rawWorker, n int, id string) {
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	count := len(s.crashes)
	delete(s.workers, worker)
	s.mu.Unlock()
	s.r.line("worker %s crashes (crash %d)", id, count)
	worker.crash()
	time.AfterFunc(lapseAfter, func() { s.store.Delete("servers", id) })
	time.AfterFunc(backAfter, func() { _ = s.startEngine(n) })
}

func (s *crashSite) serve(c *workerConn, r *http.Request, body, id string, crash func()) bool {
	request := r.Header.Get("X-Attempt-Id")
	head := "X-Attempt-Id: " + request + "\r\nX-Worker-Load: 1,0,16\r\n"
	if expected := r.Header.Get("X-Expect-Worker"); expected != "" && expected != id {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Content-Length: 0\r\n\r\n")
		return err == nil
	}
	poison := s.trouble && body == poisonBody
	s.r.line("worker %s runs request %s (crashes it: %v)", id, request, poison)
	if body == poisonBody {
		s.mu.Lock()
		s.arrivals = append(s.arrivals, time.Now())
		s.mu.Unlock()
	}
	began := time.Now()
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"X-Worker-Signature: "+id+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for n := first + 1; n <= 20 && err == nil; n++ {
		if poison && time.Since(began) >= s.crashAfter {
			crash()
			return false
		}
		event := standin.Event(request, n)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(eventPause)
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err == nil
}

func (s *crashSite) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for worker := range s.workers {
		worker.crash()
	}
}

// lateRetries returns how many times the request reached workers later than contactTime after the third crash.
func (s *crashSite) lateRetries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < 3 {
		return 0
	}
	late := 0
	for _, at := range s.arrivals {
		if at.Sub(s.crashes[2]) > contactTime {
			late++
		}
	}
	return late
}

// lateCrash sends a request that crashes each worker that runs it some time after its first event. Its client
// sends it again and again, with the same path, key and body, at all machines in turn.
func lateCrash(r *record, folder string, trouble bool) (int, error) {
	site := &crashSite{r: r, trouble: trouble, crashAfter: 2600 * time.Millisecond, workers: map[*rawWorker]bool{}}
	if ms, err := strconv.Atoi(os.Getenv("CRASH_AFTER_MS")); err == nil { // to compare with requests that crash sooner
		site.crashAfter = time.Duration(ms) * time.Millisecond
	}
	var startErr error
	d, err := startDeployment(folder, 3, func(s *standin.Site) {
		site.store = s.Store
		for _, engine := range s.Engines {
			s.Store.Delete("servers", engine.ID)
			engine.Stop()
		}
		for n := range engines {
			if err := site.startEngine(n); err != nil {
				startErr = err
			}
		}
		s.Publish(func(config map[string]any) {
			route := config["routes"].([]any)[0].(map[string]any)
			route["timeout-ms"], route["resumable"], route["attempts"] = 15000, false, 1
		})
	})
	if err == nil && startErr != nil {
		d.stop()
		err = startErr
	}
	if err != nil {
		return 0, err
	}
	defer d.stop()
	defer site.close()
	done := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 3 { // others, each with a prompt of its own
		wg.Go(func() {
			for try := n; ; try++ {
				select {
				case <-done:
					return
				default:
				}
				id := newID()
				got := send(d.vms[try%len(d.vms)].RequestAddress(), "/quote/x", quoteHeader(id, "1,1", 15*time.Second), "prompt "+id, 16*time.Second, nil)
				r.line("request %s of another client answered %d, complete %v", id, got.status, got.err == nil)
			}
		})
	}
	for try := range 14 {
		id := newID()
		got := send(d.vms[try%len(d.vms)].RequestAddress(), "/quote/poison", quoteHeader(id, "1,1", 15*time.Second), poisonBody, 16*time.Second, nil)
		r.line("attempt %d (%s) of the request that crashes its workers: answered %d, complete %v, %d events", try+1, id, got.status, got.err == nil, len(eventIDs(got.body)))
		time.Sleep(time.Second)
	}
	close(done)
	wg.Wait()
	late := site.lateRetries()
	r.line("crashes %d, workers that the request reached %d, of these later than contact-ms after the third crash %d (allowed: %d)",
		len(site.crashes), len(site.arrivals), late, maxRetries)
	if !trouble || late <= maxRetries {
		return 0, nil
	}
	return late - maxRetries, nil
}
