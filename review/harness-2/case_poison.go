package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	poisonBody = "the request that crashes its workers"
	// poisonPeriod is how often the request comes again, poisonTime for how long.
	poisonPeriod = time.Second
	poisonTime   = 50 * time.Second
	// A crashed worker is back after minDown to maxDown.
	minDown, maxDown = 2 * time.Second, 3400 * time.Millisecond
	contact          = 3 * time.Second
	allowedRetries   = 3
)

// poisonWorld counts what the request does.
type poisonWorld struct {
	*deployment
	mu       sync.Mutex
	crashes  int
	third    time.Time
	late     int
	restarts sync.WaitGroup
}

// poison has a request come again and again that crashes each worker which begins to run it.
func poison(r *record, trouble bool) error {
	d, err := newDeployment(r, 4)
	if err != nil {
		return err
	}
	defer d.close(false)
	world := &poisonWorld{deployment: d}
	for i := range 5 {
		w := &worker{d: d, id: fmt.Sprintf("i-f4313c1%d", i), service: "dash-api", zone: zones[i%3], slots: 6, serve: world.serve}
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
	began := time.Now()
	clients.Go(func() { // other requests
		for i := 0; time.Since(began) < poisonTime; i++ {
			clients.Go(func() {
				o := send(d.vms[i%4], http.MethodPost, fmt.Sprintf("/gauge/%d", i), []byte("usual"), 1500*time.Millisecond, nil)
				r.add("client of %s, a usual request: status %d", o.id, o.status)
			})
			time.Sleep(12 * time.Millisecond)
		}
	})
	if trouble {
		time.Sleep(2 * time.Second)
		for time.Since(began) < poisonTime {
			clients.Go(func() { world.sendPoison(1) })
			time.Sleep(poisonPeriod)
		}
	}
	clients.Wait()
	world.restarts.Wait()
	return world.judge()
}

// poisonDeadline is the time that the client has for the request, with its retries.
const poisonDeadline = 1500 * time.Millisecond

// sendPoison sends the request, and once more if it fails, on a new connection as clients do: at once, or after the time
// in Retry-After, up to a third of the time that is left.
func (s *poisonWorld) sendPoison(retries int) {
	end := time.Now().Add(poisonDeadline)
	for {
		o := send(s.vms[rand.IntN(len(s.vms))], http.MethodPost, "/gauge/poison", []byte(poisonBody), time.Until(end), nil)
		after := o.header.Get("Retry-After")
		s.add("client of %s, the request that crashes: status %d, retry after %q, %.80q", o.id, o.status, after, o.body)
		if retries == 0 || o.status == http.StatusOK {
			return
		}
		retries--
		seconds, _ := strconv.ParseFloat(after, 64) // 0 if there is none
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), time.Until(end)/3))
	}
}

func (s *poisonWorld) serve(w *worker, c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Attempt-Id")
	if !strings.HasSuffix(r.URL.Path, "poison") {
		time.Sleep(60 * time.Millisecond)
		text := "answer to " + id
		_, err := io.WriteString(c, w.head(id)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text))
		return err == nil
	}
	s.crash(w, id, minDown+rand.N(maxDown-minDown))
	return false
}
