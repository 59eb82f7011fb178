package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/platform/standin"
)

func init() { cases["late-stage-answer"] = lateStageAnswer }

const (
	stageCallTime = 60 * time.Millisecond
	stageItemTime = 2 * time.Millisecond
	// faultyShare of 5 is the share of a service's workers that send extra answers, extraEvery the number of
	// answers of which one is sent twice: at most 0.6 of the workers and 0.03 of their answers, for 5 s.
	readWorkers, faultyWorkers = 5, 3
	extraEvery                 = 34
	garbleTime                 = 5 * time.Second
	// handleTime is handle-s of the configuration.
	handleTime = 4 * time.Second
)

// stageSite holds what the stage workers of a case share.
type stageSite struct {
	r *record
	// garbles reports whether the faulty workers send extra answers now.
	garbles func() bool

	mu     sync.Mutex        // guards what follows
	made   map[string]string // by handle: the request for which it was made
	gone   map[string]bool   // handles whose results were freed or have expired
	extras int
	mixed  int
}

// stageWorker makes the pieces of a stage, one call at a time.
type stageWorker struct {
	site    *stageSite
	id      string
	faulty  bool
	worker  *rawWorker
	turn    chan struct{}
	waiting chan struct{}
	answers int // guarded by site.mu
	serial  int // guarded by site.mu
}

func startStageWorker(site *stageSite, id string, faulty bool) (*stageWorker, error) {
	s := &stageWorker{site: site, id: id, faulty: faulty, turn: make(chan struct{}, 1), waiting: make(chan struct{}, 3)}
	worker, err := startRawWorker(s.handle)
	s.worker = worker
	return s, err
}

func (s *stageWorker) entry(service, zone string) map[string]any {
	return map[string]any{
		"service": service, "address": s.worker.address(), "zone": zone, "version": "v1", "slot-count": 1,
		"state": "ready", "cold-left-ms": 0, "call-seq": 1,
	}
}

type stageItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// header returns the header of an answer. Workers echo the id of the request, if it has one.
func (s *stageWorker) header(r *http.Request) map[string]string {
	h := map[string]string{"Content-Type": "application/json", "X-Worker-Load": "0,0,1"}
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		h["X-Attempt-Id"] = id
	}
	return h
}

func (s *stageWorker) handle(c *workerConn, r *http.Request, body []byte) bool {
	h := s.header(r)
	if expected := r.Header.Get("X-Expect-Worker"); expected != "" && expected != s.id {
		_, err := c.Write(answer("421 Misdirected Request", h, nil))
		return err == nil
	}
	if r.URL.Path == "/vanillagate/stage-free" {
		var call struct {
			Handles []string `json:"open-handles"`
		}
		if err := json.Unmarshal(body, &call); err != nil {
			return false
		}
		for _, handle := range call.Handles {
			if strings.HasPrefix(handle, s.worker.address()+"/") {
				s.site.drop(handle)
			}
		}
		_, err := c.Write(answer("200 OK", h, []byte("{}")))
		return err == nil
	}
	var call struct {
		Items []stageItem `json:"items"`
	}
	if r.URL.Path != "/vanillagate/stage-run" || json.Unmarshal(body, &call) != nil {
		_, err := c.Write(answer("400 Bad Request", h, nil))
		return err == nil
	}
	select {
	case s.waiting <- struct{}{}:
	default:
		h["X-Not-Executed"] = "1"
		_, err := c.Write(answer("503 Service Unavailable", h, nil))
		return err == nil
	}
	s.turn <- struct{}{}
	lost := s.fetch(call.Items)
	time.Sleep(stageCallTime + time.Duration(len(call.Items))*stageItemTime)
	encoded, err := json.Marshal(map[string]any{"items": s.make(call.Items, lost)})
	<-s.turn
	<-s.waiting
	if err != nil {
		return false
	}
	full := answer("200 OK", h, encoded)
	if s.repeats() {
		c.late = full // arrives where the next answer on the connection is expected
	}
	_, err = c.Write(full)
	return err == nil
}

// drop forgets a result.
func (s *stageSite) drop(handle string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone[handle] = true
}

// fetch reads the inputs of a call's pieces and checks that each is one of its own request. It returns the pieces
// of which an input no longer exists: these aren't made.
func (s *stageWorker) fetch(items []stageItem) (lost map[int]bool) {
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	lost = map[int]bool{}
	for n, item := range items {
		for _, input := range item.Inputs {
			from, known := s.site.made[input]
			lost[n] = lost[n] || !known || s.site.gone[input]
			if from == item.ID {
				continue
			}
			if lost[n] {
				s.site.r.line("not counted: worker %s is asked for a piece of request %s with input %s of request %q, which is gone", s.id, item.ID, input, from)
				continue
			}
			s.site.mixed++
			s.site.r.line("MIXED broken: worker %s makes piece %d of stage %d of request %s from input %s, which was made for request %q",
				s.id, item.Piece, item.Stage, item.ID, input, from)
		}
	}
	return lost
}

// make makes the pieces of a call.
func (s *stageWorker) make(items []stageItem, lost map[int]bool) []map[string]string {
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	var results []map[string]string
	for n, item := range items {
		if lost[n] {
			results = append(results, map[string]string{"reason": "gone"})
			continue
		}
		s.serial++
		handle := fmt.Sprintf("%s/%s-%d", s.worker.address(), s.id, s.serial)
		s.site.made[handle] = item.ID
		time.AfterFunc(handleTime, func() { s.site.drop(handle) })
		s.site.r.line("worker %s made %s: request %s, stage %d, piece %d", s.id, handle, item.ID, item.Stage, item.Piece)
		results = append(results, map[string]string{"handle": handle})
	}
	return results
}

// repeats reports whether an extra answer follows the current one.
func (s *stageWorker) repeats() bool {
	if !s.faulty || !s.site.garbles() {
		return false
	}
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	s.answers++
	if s.answers%extraEvery != 0 {
		return false
	}
	s.site.extras++
	s.site.r.line("worker %s will send its answer a second time", s.id)
	return true
}

// checkInputs checks that the engines were given the inputs of their own requests.
func (s *stageSite) checkInputs(engines []*standin.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, engine := range engines {
		for _, got := range engine.ReceivedRequests() {
			for _, input := range strings.Split(got.Header.Get("X-Inputs"), ",") {
				if from := s.made[input]; got.Ran && from != got.ID {
					s.mixed++
					s.r.line("MIXED broken: worker %s runs request %s with input %s, which was made for request %q", engine.ID, got.ID, input, from)
				}
			}
		}
	}
}

// lateStageAnswer has workers of a stage send some of their answers a second time, late: the extra answer
// arrives where the next one on the connection is expected.
func lateStageAnswer(r *record, folder string, trouble bool) (int, error) {
	var mu sync.Mutex
	garbling := false
	setGarbling := func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		garbling = on
	}
	site := &stageSite{r: r, made: map[string]string{}, gone: map[string]bool{}, garbles: func() bool {
		mu.Lock()
		defer mu.Unlock()
		return garbling
	}}
	var startErr error
	d, err := startDeployment(folder, 3, func(s *standin.Site) {
		for _, stage := range s.Stages {
			s.Store.Delete("servers", stage.ID)
			stage.Stop()
		}
		s.Stages = nil
		zones := []string{"zone-a", "zone-b", "zone-c"}
		for n := range readWorkers {
			for _, service := range []string{"read", "rank"} {
				id := fmt.Sprintf("i-%s-%d", service, n)
				worker, err := startStageWorker(site, id, service == "read" && n < faultyWorkers)
				if err != nil {
					startErr = err
					return
				}
				s.Store.Put("servers", id, worker.entry(service, zones[n%len(zones)]))
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
	const clients, windows = 8, 6
	done := make(chan struct{})
	var wg sync.WaitGroup
	var served, failed int
	for n := range clients {
		wg.Go(func() {
			for try := n; ; try++ {
				select {
				case <-done:
					return
				default:
				}
				id := newID()
				got := send(d.vms[try%len(d.vms)].RequestAddress(), "/quote/x", quoteHeader(id, "1,1", 6*time.Second), "prompt", 7*time.Second, nil)
				r.line("client %d: request %s answered %d, complete %v", n, id, got.status, got.err == nil)
				mu.Lock()
				if got.status == http.StatusOK && got.err == nil {
					served++
				} else {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for range windows {
		time.Sleep(garbleTime)
		if trouble {
			r.line("workers begin to send extra answers")
			setGarbling(true)
		}
		time.Sleep(garbleTime)
		setGarbling(false)
		r.line("workers no longer send extra answers")
	}
	time.Sleep(time.Second)
	close(done)
	wg.Wait()
	site.checkInputs(d.Engines)
	r.line("served %d, not served %d, answers sent twice %d", served, failed, site.extras)
	return site.mixed, nil
}
