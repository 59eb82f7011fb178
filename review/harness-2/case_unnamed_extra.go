package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	extraCallTime = 240 * time.Millisecond
	extraItemTime = 6 * time.Millisecond
	// extraRounds rounds of trouble: in each, the grey workers fail greyShare of their pieces for greyTime, and the garbling
	// workers send extraShare of their answers a second time for garbleTime.
	extraRounds = 13
	extraPeriod = 7 * time.Second
	greyTime    = 6500 * time.Millisecond
	greyShare   = 0.3
	garbleTime  = 5 * time.Second
	extraShare  = 0.03
	// extraQueue is how many calls may wait at a worker.
	extraQueue = 2
	extraRate  = 28
)

// extraStages are the services of the stages, which run one after the other.
var extraStages = []string{"telemetry-in", "notify", "tenant-ops", "levels", "gates", "alarms"}

// stageWorld knows what was made of which request.
type stageWorld struct {
	*deployment
	mu sync.Mutex
	// made has the results that exist, by handle.
	made map[string]stageResult
	// answers counts the answers of garbling workers while they garble.
	answers       int
	last          int
	grey          bool
	garbling      bool
	extra         int
	withoutHandle int
}

// stageResult is a result at the worker that made it.
type stageResult struct {
	// of is the request that it was made for. It is kept until the given time, unless it is freed.
	of    string
	until time.Time
}

// extraKeep is handle-s.
const extraKeep = 4 * time.Second

// inputOf returns for which request a result was made; false if it no longer exists. The caller holds mu.
func (s *stageWorld) inputOf(handle string) (string, bool) {
	result, found := s.made[handle]
	return result.of, found && time.Now().Before(result.until)
}

// stagePlayer is the state of one stage worker: its calls run one after the other.
type stagePlayer struct {
	world *stageWorld
	grey  bool
	// garbles means that it is one of the workers that send some answers a second time.
	garbles bool
	busy    sync.Mutex
	// calls is the number of calls that run or wait.
	calls atomic.Int32

	mu sync.Mutex
	// held has the second copy of an answer, by connection, which is sent where the next answer is expected.
	held map[net.Conn]string
}

// unnamedExtraAnswer has some stage workers send answers a second time, where the next answer on the connection is due,
// while one of each stage fails a part of its pieces.
func unnamedExtraAnswer(r *record, trouble bool) error {
	d, err := newDeployment(r, 3)
	if err != nil {
		return err
	}
	defer d.close(false)
	world := &stageWorld{deployment: d, made: map[string]stageResult{}}
	for i := range 3 {
		w := &worker{d: d, id: fmt.Sprintf("i-7f3a91c%d", i), service: "llm-pool", zone: zones[i%3], slots: 64, engine: true, serve: world.serveEngine}
		if err := w.start(); err != nil {
			return err
		}
		d.workers = append(d.workers, w)
		w.list()
	}
	services, stages := []any{engineService("llm-pool")}, []any{}
	for n, name := range extraStages {
		for i := range 8 {
			p := &stagePlayer{world: world, grey: i == 0, garbles: i < 4, held: map[net.Conn]string{}}
			w := &worker{d: d, id: fmt.Sprintf("i-02d9e6%d%d", n, i), service: name, zone: zones[i%3], slots: 1, serve: p.serve}
			if err := w.start(); err != nil {
				return err
			}
			d.workers = append(d.workers, w)
			w.list()
		}
		service, after := plainService(name), []int{}
		service["pieces"] = map[string]any{"slot-count": 1, "queue": 2, "batch": 34, "call-ms": 240.0, "item-ms": 6.1, "headroom-mb": 3.7, "handle-s": 4.0, "link-mbps": 10000}
		if n > 0 {
			after = []int{n - 1}
		}
		services = append(services, service)
		stages = append(stages, map[string]any{"service": name, "after": after, "size-bytes": 8000})
	}
	route := streamRoute("notice", "/notice/", "llm-pool", 1, false)
	route["stages"], route["target-latency-ms"] = stages, 4000
	d.config = map[string]any{"limits": limits(), "tenants": tenants(), "services": services, "routes": []any{route}}
	d.publish()
	if err := d.startAll(); err != nil {
		return err
	}
	var clients sync.WaitGroup
	end := time.Now().Add(extraRounds * extraPeriod)
	if trouble {
		clients.Go(world.disturb)
	}
	for i := 0; time.Now().Before(end); i++ {
		clients.Go(func() {
			header := prompt(i % 50)
			id := newID()
			header["X-Pieces"], header["X-Piece-Key"], header["X-Attempt-Id"] = "1,1,1,1,1,1", "7c1e"+id, id
			o := send(d.vms[i%3], http.MethodPost, "/notice/a", []byte("prompt"), 10*time.Second, header)
			r.add("client of %s: status %d, whole %v", id, o.status, o.whole)
		})
		time.Sleep(time.Second / extraRate)
	}
	clients.Wait()
	r.add("%d of %d answers were sent a second time, %d of them had no handle", world.extra, world.answers, world.withoutHandle)
	return nil
}

func (s *stageWorld) disturb() {
	for range extraRounds {
		s.set(true, true)
		time.Sleep(garbleTime)
		s.set(true, false)
		time.Sleep(greyTime - garbleTime)
		s.set(false, false)
		time.Sleep(extraPeriod - greyTime)
	}
}

func (s *stageWorld) set(grey, garbling bool) {
	s.add("one worker of each stage fails a part of its pieces: %v; some answers are sent twice: %v", grey, garbling)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grey, s.garbling = grey, garbling
}

// serve answers the calls of a stage worker. Its answers have no X-Attempt-Id, as on the page.
func (p *stagePlayer) serve(w *worker, c net.Conn, r *http.Request, body []byte) bool {
	p.mu.Lock()
	extra := p.held[c]
	delete(p.held, c)
	p.mu.Unlock()
	if extra != "" {
		w.d.add("%s sends an answer a second time where the next one is due", w.id)
		if _, err := fmt.Fprint(c, extra); err != nil {
			return false
		}
	}
	if r.URL.Path == "/vanillagate/stage-free" {
		p.world.free(body)
		_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	answer, handles := p.run(w, body)
	if answer == "" {
		return false
	}
	if _, err := fmt.Fprint(c, answer); err != nil {
		return false
	}
	s := p.world
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.garbles || !s.garbling {
		return true
	}
	s.answers++
	if rand.Float64() < extraShare && float64(s.extra+1) <= extraShare*float64(s.answers) {
		s.extra++
		if handles == 0 {
			s.withoutHandle++
		}
		p.mu.Lock()
		p.held[c] = answer
		p.mu.Unlock()
	}
	return true
}

// run makes the pieces of a call and returns the answer.
func (p *stagePlayer) run(w *worker, body []byte) (answer string, handles int) {
	var call struct {
		Items []struct {
			ID     string   `json:"id"`
			Stage  int      `json:"stage"`
			Piece  int      `json:"piece"`
			Inputs []string `json:"inputs"`
		} `json:"items"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return "", 0
	}
	if p.calls.Add(1) > extraQueue+1 {
		p.calls.Add(-1)
		return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", 0
	}
	p.busy.Lock()
	time.Sleep(extraCallTime + time.Duration(len(call.Items))*extraItemTime)
	p.busy.Unlock()
	p.calls.Add(-1)
	s := p.world
	s.mu.Lock()
	defer s.mu.Unlock()
	var results []map[string]string
	for _, item := range call.Items {
		gone := false
		for _, handle := range item.Inputs {
			of, exists := s.inputOf(handle)
			gone = gone || !exists
			if exists && of != item.ID {
				s.breaks("MIXED: piece %d of stage %d of %s at %s has input %s, which was made for %q", item.Piece, item.Stage, item.ID, w.id, handle, of)
			}
		}
		if gone {
			results = append(results, map[string]string{"reason": "gone"})
			s.add("%s lacks an input of piece %d of stage %d of %s", w.id, item.Piece, item.Stage, item.ID)
			continue
		}
		if p.grey && s.grey && rand.Float64() < greyShare {
			results = append(results, map[string]string{"reason": "error"})
			s.add("%s fails piece %d of stage %d of %s", w.id, item.Piece, item.Stage, item.ID)
			continue
		}
		s.last++
		handles++
		handle := fmt.Sprintf("%s/%06x%08x", w.public, s.last, rand.Uint32())
		s.made[handle] = stageResult{of: item.ID, until: time.Now().Add(extraKeep)}
		s.add("%s makes piece %d of stage %d of %s: %s", w.id, item.Piece, item.Stage, item.ID, handle)
		results = append(results, map[string]string{"handle": handle})
	}
	text, _ := json.Marshal(map[string]any{"items": results})
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Worker-Load: 1,0,1\r\nContent-Length: %d\r\n\r\n%s", len(text), text), handles
}

// free drops the results that a call names.
func (s *stageWorld) free(body []byte) {
	var call struct {
		Handles []string `json:"open-handles"`
	}
	if json.Unmarshal(body, &call) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, handle := range call.Handles {
		delete(s.made, handle)
	}
}

// serveEngine checks the inputs of a request and answers it.
func (s *stageWorld) serveEngine(w *worker, c net.Conn, r *http.Request, _ []byte) bool {
	id := r.Header.Get("X-Attempt-Id")
	s.mu.Lock()
	gone := false
	for _, handle := range strings.Split(r.Header.Get("X-Inputs"), ",") {
		of, exists := s.inputOf(handle)
		gone = gone || !exists
		if exists && of != id {
			s.breaks("MIXED: %s runs at %s with input %s, which was made for %q", id, w.id, handle, of)
		}
	}
	s.mu.Unlock()
	if gone {
		s.add("%s lacks an input of %s", w.id, id)
		_, err := fmt.Fprintf(c, "HTTP/1.1 409 Conflict\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	text := fmt.Sprintf("id: 1\ndata: %s\n\n", id)
	_, err := fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", w.head(id), len(text), text)
	return err == nil
}
