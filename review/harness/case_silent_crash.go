package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/platform/standin"
)

func init() { cases["silent-crash"] = silentCrash }

// darkSite holds the engines of the case. Their requests that are under way as one falls silent wait until the
// program ends.
type darkSite struct {
	r       *record
	store   *standin.Store
	trouble bool

	mu       sync.Mutex // guards what follows
	starts   int
	dark     map[*rawWorker]bool
	crashes  []time.Time
	arrivals []time.Time // of the request that crashes its workers
}

// handler returns the handler of a new incarnation of an engine, and its id.
func (s *darkSite) handler(w func() *rawWorker, n int) (string, func(*workerConn, *http.Request, []byte) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	id := fmt.Sprintf("i-llm-%d-%d", n, s.starts)
	return id, func(c *workerConn, r *http.Request, body []byte) bool { return s.serve(c, r, string(body), id, n, w()) }
}

func (s *darkSite) list(id string, n int, address string) {
	s.store.Put("servers", id, map[string]any{
		"service": "engines", "address": address, "zone": []string{"zone-a", "zone-b", "zone-c"}[n%3], "version": "v1",
		"slot-count": 16, "state": "ready", "cold-left-ms": 0, "call-seq": 1,
	})
	s.r.line("worker %s starts at %s", id, address)
}

func (s *darkSite) isDark(w *rawWorker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dark[w]
}

// crash makes an engine dark. Another incarnation starts at its address.
func (s *darkSite) crash(w *rawWorker, n int, id string) {
	s.mu.Lock()
	if s.dark[w] {
		s.mu.Unlock()
		return
	}
	s.dark[w] = true
	s.crashes = append(s.crashes, time.Now())
	count := len(s.crashes)
	s.mu.Unlock()
	s.r.line("worker %s falls silent (crash %d): %v", id, count, w.silence())
	time.AfterFunc(lapseAfter, func() { s.store.Delete("servers", id) })
	time.AfterFunc(backAfter, func() {
		next, handle := s.handler(func() *rawWorker { return w }, n)
		s.mu.Lock()
		s.dark[w] = false
		s.mu.Unlock()
		w.wake(handle)
		s.list(next, n, w.address())
	})
}

func (s *darkSite) serve(c *workerConn, r *http.Request, body, id string, n int, w *rawWorker) bool {
	if s.isDark(w) {
		select {}
	}
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
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"X-Worker-Signature: "+id+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for event := 1; event <= streamed && err == nil; event++ {
		text := standin.Event(request, event)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		time.Sleep(100 * time.Millisecond)
		if poison {
			s.crash(w, n, id)
		}
		if s.isDark(w) {
			select {}
		}
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err == nil
}

// silentCrash sends a request under which each worker that runs it falls silent for some seconds.
func silentCrash(r *record, folder string, trouble bool) (int, error) {
	site := &darkSite{r: r, trouble: trouble, dark: map[*rawWorker]bool{}}
	var startErr error
	d, err := startDeployment(folder, 3, func(s *standin.Site) {
		site.store = s.Store
		for _, engine := range s.Engines {
			s.Store.Delete("servers", engine.ID)
			engine.Stop()
		}
		for n := range engines {
			var worker *rawWorker
			id, handle := site.handler(func() *rawWorker { return worker }, n)
			if worker, startErr = startRawWorker(handle); startErr != nil {
				return
			}
			site.list(id, n, worker.address())
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
	for try := range 14 {
		id := newID()
		got := send(d.vms[try%len(d.vms)].RequestAddress(), "/quote/poison", quoteHeader(id, "1,1", 15*time.Second), poisonBody, 16*time.Second, nil)
		r.line("attempt %d (%s) of the request that crashes its workers: answered %d, complete %v, %d events, %v", try+1, id, got.status, got.err == nil, len(eventIDs(got.body)), got.err)
		time.Sleep(time.Second)
	}
	site.mu.Lock()
	defer site.mu.Unlock()
	late := 0
	for _, at := range site.arrivals {
		if len(site.crashes) >= 3 && at.Sub(site.crashes[2]) > contactTime {
			late++
		}
	}
	r.line("crashes %d, workers that the request reached %d, of these later than contact-ms after the third crash %d (allowed: %d)",
		len(site.crashes), len(site.arrivals), late, maxRetries)
	return max(late-maxRetries, 0), nil
}
