package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	volleyPause = 6 * time.Second
	volleyDown  = 2 * time.Second
	volleys     = 4
)

// volley has a request come four times, 6 s apart, that crashes each worker which begins to run it.
func volley(r *record, trouble bool) error {
	d, err := newDeployment(r, 4)
	if err != nil {
		return err
	}
	defer d.close(false)
	world := &poisonWorld{deployment: d}
	serve := func(w *worker, c net.Conn, r *http.Request, _ []byte) bool {
		if trouble && strings.HasSuffix(r.URL.Path, "poison") {
			world.crash(w, r.Header.Get("X-Attempt-Id"), volleyDown)
			return false
		}
		time.Sleep(60 * time.Millisecond)
		text := "answer to " + r.Header.Get("X-Attempt-Id")
		_, err := io.WriteString(c, w.head(r.Header.Get("X-Attempt-Id"))+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text))
		return err == nil
	}
	for i := range 12 {
		w := &worker{d: d, id: fmt.Sprintf("i-f4313c%02d", i), service: "dash-api", zone: zones[i%3], slots: 6, serve: serve}
		if err := w.start(); err != nil {
			return err
		}
		d.workers = append(d.workers, w)
		w.list()
	}
	d.config = map[string]any{
		"limits": limits(), "tenants": tenants(), "services": []any{plainService("dash-api")},
		"routes": []any{plainRoute("gauge", "/gauge/", "idempotent", "dash-api", 2, 800)},
	}
	d.publish()
	if err := d.startAll(); err != nil {
		return err
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() { // other requests
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			clients.Go(func() {
				o := send(d.vms[i%4], http.MethodPost, fmt.Sprintf("/gauge/%d", i), []byte("usual"), 1500*time.Millisecond, nil)
				r.add("client of %s, a usual request: status %d", o.id, o.status)
			})
		}
	})
	for range volleys {
		time.Sleep(volleyPause)
		world.sendPoison(1)
	}
	time.Sleep(volleyPause)
	close(stop)
	clients.Wait()
	world.restarts.Wait()
	return world.judge()
}

// judge counts what came too late.
func (s *poisonWorld) judge() error {
	s.add("the request has crashed workers %d times; it reached workers %d times later than %v after the third", s.crashes, s.late, contact)
	if s.late > allowedRetries {
		s.breaks("BUDGET: the request reached workers %d times later than %v after it had crashed the third", s.late, contact)
	}
	return nil
}

// crash counts an arrival of the request and ends the worker's process for some time.
func (s *poisonWorld) crash(w *worker, id string, down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.third.IsZero() && time.Since(s.third) > contact {
		s.late++
	}
	if s.crashes++; s.crashes == 3 {
		s.third = time.Now()
	}
	s.add("%s runs %s, the request that crashes, and is down for %v (crash %d)", w.id, id, down, s.crashes)
	s.restarts.Go(func() {
		w.stop()
		s.restarts.Go(w.lapse)
		time.Sleep(down)
		if err := w.start(); err != nil {
			s.add("%s can't start again: %v", w.id, err)
			return
		}
		w.list()
		s.add("%s is back", w.id)
	})
}
