package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	rebornEvents = 60
	rebornPause  = 50 * time.Millisecond
	rebornCut    = 2200 * time.Millisecond
	// rebornMaxConns is max-connections of the service.
	rebornMaxConns = 370
)

func rebornEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s word %d\n\n", n, id, n)
}

// rebornWorker has the process that crashes behind a cut start again under the same id.
func rebornWorker(r *record, trouble bool) error { return playReborn(r, trouble, false) }

// rebornFullWorker has it start again under another id. Other callers, which aren't cut off, have as many connections to
// it as it accepts, so that it resets further ones.
func rebornFullWorker(r *record, trouble bool) error { return playReborn(r, trouble, true) }

// playReborn cuts the path to one engine of six in the middle of its streams, which end with their connections. Behind the
// cut its process crashes and starts again.
func playReborn(r *record, trouble, full bool) error {
	d, err := newDeployment(r, 3)
	if err != nil {
		return err
	}
	defer d.close(false)
	gates := map[string]*gate{}
	for i := range 6 {
		w := &worker{d: d, id: fmt.Sprintf("i-7f3a91c%d", i), service: "llm-pool", zone: zones[i%3], slots: 64, engine: true, serve: serveUnframedStream}
		if err := w.start(); err != nil {
			return err
		}
		g, err := newGate(w.address)
		if err != nil {
			return err
		}
		w.public, gates[w.id] = g.address(), g
		d.workers = append(d.workers, w)
		w.list()
	}
	d.config = map[string]any{
		"limits": limits(), "tenants": tenants(), "services": []any{engineService("llm-pool")},
		"routes": []any{streamRoute("notice", "/notice/", "llm-pool", 1, false), streamRoute("explain", "/explain/", "llm-pool", 2, true)},
	}
	d.publish()
	if err := d.startAll(); err != nil {
		return err
	}
	var clients sync.WaitGroup
	for i := range 36 {
		path := []string{"/notice/a", "/explain/a"}[i%2]
		clients.Go(func() {
			o := send(d.vms[i%3], http.MethodPost, path, []byte("prompt"), 14*time.Second, prompt(i))
			checkStream(r, path, o)
		})
		time.Sleep(10 * time.Millisecond)
	}
	if trouble {
		time.Sleep(time.Second)
		w := d.workers[0]
		path := gates[w.id]
		path.set(true)
		r.add("%s is cut off", w.id)
		time.Sleep(200 * time.Millisecond)
		w.stop()
		r.add("%s crashes", w.id)
		time.Sleep(rebornCut - 400*time.Millisecond)
		if full {
			w.id += "b"
			w.maxConns = rebornMaxConns
		}
		if err := w.start(); err != nil {
			return err
		}
		if full {
			others, err := connectOthers(w)
			if err != nil {
				return err
			}
			defer others()
		}
		w.list()
		r.add("it has started again as %s, born %d; other callers have all connections that it accepts: %v", w.id, w.bornAt(), full)
		time.Sleep(200 * time.Millisecond)
		path.set(false)
		r.add("%s is reached again", w.id)
	}
	clients.Wait()
	return nil
}

// connectOthers opens as many connections to a worker as it accepts, from callers beside the system, and waits until it
// has accepted them. The function that it returns closes them.
func connectOthers(w *worker) (func(), error) {
	var open []net.Conn
	closeAll := func() {
		for _, c := range open {
			_ = c.Close()
		}
	}
	for range rebornMaxConns {
		c, err := net.Dial("tcp", w.address)
		if err != nil {
			closeAll()
			return nil, err
		}
		open = append(open, c)
	}
	for w.connCount() < rebornMaxConns {
		time.Sleep(time.Millisecond)
	}
	return closeAll, nil
}

// serveUnframedStream answers with a stream that ends with its connection.
func serveUnframedStream(w *worker, c net.Conn, r *http.Request, _ []byte) bool {
	id := r.Header.Get("X-Attempt-Id")
	first := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
	w.d.add("%s runs %s %s from event %d", w.id, id, r.URL.Path, first+1)
	if _, err := fmt.Fprint(c, w.head(id)+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	for n := first + 1; n <= rebornEvents; n++ {
		if _, err := fmt.Fprint(c, rebornEvent(id, n)); err != nil {
			w.d.add("%s breaks %s off before event %d", w.id, id, n)
			return false
		}
		time.Sleep(rebornPause)
	}
	w.d.add("%s has sent all of %s", w.id, id)
	return false
}

// checkStream checks a client's answer: a stream that ended in order has all its events, once and in order.
func checkStream(r *record, path string, o outcome) {
	var want strings.Builder
	for n := 1; n <= rebornEvents; n++ {
		want.WriteString(rebornEvent(o.id, n))
	}
	got := string(o.body)
	r.add("client of %s %s: status %d, %d of %d events, ended in order: %v, error: %v", o.id, path, o.status, strings.Count(got, "\n\n"), rebornEvents, o.whole, o.err)
	switch {
	case o.status != http.StatusOK:
	case !strings.HasPrefix(want.String(), got):
		r.breaks("ORDER: the stream %s has other events than its own", o.id)
	case o.whole && got != want.String():
		r.breaks("ORDER: the stream %s ended as complete after event %d of %d", o.id, strings.Count(got, "\n\n"), rebornEvents)
	}
}
