package serve

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/conns"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/serve/run"
	"github.com/vanillagate/vanillagate/internal/suspect"
)

const (
	// crashesToConvict is how many targets a request may crash. Others that ran
	// beside it on a target are suspected too; three times beside a culprit is
	// no chance. The users' bound is a few retries after the third.
	crashesToConvict = 3
	// lookAfter is how long after a connection broke its target is looked at:
	// its port closes with the process, a few ms later at most.
	lookAfter = 50 * time.Millisecond
	// lookTimeout bounds the look; a target that takes a connection lives.
	lookTimeout = 300 * time.Millisecond
	// collectors is how many processes collect the reports on one request: where one
	// is gone the other still counts.
	collectors = 2
	// reportSpread is within what time a crash is reported, drawn by lot, reportPause
	// how long after one report the next follows; what comes meanwhile goes into it.
	reportSpread = 100 * time.Millisecond
	reportPause  = 500 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = time.Second
	// maxReported bounds one report. What exceeds it is known here only.
	maxReported = 64
	// toldFor is how long the peers keep a conviction for those that join: longer
	// than callers go on with one request.
	toldFor = time.Minute
)

const methodCrashes = "suspicion.crashes"

// crash is one target's death under one request, as told to peers.
type crash struct {
	Fingerprint suspect.Fingerprint `json:"f"`
	Address     string              `json:"a"`
}

// suspicion finds the requests that crash the targets that run them, together
// with the other processes: their callers send them again, anywhere. Each crash is
// reported to the collectors of its request, and only a conviction to all: when many
// targets die at once, every request that ran there is suspected, and a report to all
// from each process would fill the links of small VMs. It implements run.Suspicion.
type suspicion struct {
	log     *zap.Logger
	network peer.Network
	table   *suspect.Table
	life    context.Context

	mu         sync.Mutex // guards what follows; a leaf
	unreported []crash
	left       int // crashes that aren't reported
	reportedAt time.Time
	told       uint64
	convicted  map[suspect.Fingerprint]time.Time // told to all
}

var _ run.Suspicion = (*suspicion)(nil)

func newSuspicion(life context.Context, log *zap.Logger, network peer.Network) *suspicion {
	s := &suspicion{
		log: log, network: network, table: suspect.NewTable(string(network.Self().Incarnation)), life: life,
		convicted: map[suspect.Fingerprint]time.Time{},
	}
	network.Subscribe(peer.TopicSuspect, s.heard)
	peer.HandleCall(network, methodCrashes, func(crashes []crash) (any, error) {
		s.collect(crashes, time.Now())
		return struct{}{}, nil
	})
	return s
}

// heard takes in what a peer tells. Its clock may differ; the crashes count as
// of now.
func (s *suspicion) heard(item peer.Item) {
	var crashes []crash
	if err := json.Unmarshal(item.Body, &crashes); err != nil {
		s.log.Warn("A peer's evidence can't be read.", zap.String("member", string(item.Origin)), zap.Error(err))
		return
	}
	s.learn(crashes, time.Now())
}

func (s *suspicion) learn(crashes []crash, now time.Time) {
	for _, c := range crashes {
		s.table.MergeEvidence(suspect.Evidence{
			Fingerprint: c.Fingerprint, Crashes: []suspect.Crash{{Address: c.Address, At: now}},
		}, now)
	}
}

// collect takes in a report and tells all processes of the requests that it convicts.
func (s *suspicion) collect(crashes []crash, now time.Time) {
	s.learn(crashes, now)
	var convictions []crash
	for _, c := range crashes {
		if s.Convicted(c.Fingerprint) && s.firstTold(c.Fingerprint, now) {
			convictions = append(convictions, s.evidence(c.Fingerprint)...)
		}
	}
	if len(convictions) > 0 {
		s.tell(convictions)
	}
}

// firstTold tells whether a conviction hasn't been told yet, and notes that it is.
func (s *suspicion) firstTold(f suspect.Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for old, at := range s.convicted {
		if now.Sub(at) > toldFor {
			delete(s.convicted, old)
		}
	}
	if _, told := s.convicted[f]; told {
		return false
	}
	s.convicted[f] = now
	return true
}

// evidence lists the crashes under a request.
func (s *suspicion) evidence(f suspect.Fingerprint) []crash {
	var list []crash
	for _, c := range s.table.CrashedTargets(f, time.Now()) {
		list = append(list, crash{Fingerprint: f, Address: c})
	}
	return list
}

// Convicted tells that a request gets no more targets.
func (s *suspicion) Convicted(f suspect.Fingerprint) bool {
	return s.table.CrashCount(f, time.Now()) >= crashesToConvict
}

// ConnectionBroke looks whether the target died, and reports it if it did.
func (s *suspicion) ConnectionBroke(f suspect.Fingerprint, address string) {
	time.AfterFunc(lookAfter, func() {
		if s.life.Err() == nil && s.died(address) {
			s.crashed(f, address)
		}
	})
}

// died tells whether nothing listens at an address any more.
func (s *suspicion) died(address string) bool {
	ctx, cancel := context.WithTimeout(s.life, lookTimeout)
	defer cancel()
	conn, err := conns.Dial(ctx, address)
	if err == nil {
		_ = conn.Close() // it was only a look
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (s *suspicion) crashed(f suspect.Fingerprint, address string) {
	evidence := s.table.Crashed(f, address, time.Now())
	s.log.Warn("Target died under a request.", zap.String("address", address), zap.String("fingerprint", string(f)),
		zap.Int("crashes", len(evidence.Crashes)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unreported) == maxReported {
		s.left++
		return
	}
	s.unreported = append(s.unreported, crash{Fingerprint: f, Address: address})
	if len(s.unreported) == 1 {
		wait := max(reportPause-time.Since(s.reportedAt), time.Duration(rand.Float64()*float64(reportSpread)))
		time.AfterFunc(wait, s.report)
	}
}

// report sends the crashes since the last time to their collectors.
func (s *suspicion) report() {
	s.mu.Lock()
	crashes, left := s.unreported, s.left
	s.unreported, s.left = nil, 0
	s.reportedAt = time.Now()
	s.mu.Unlock()
	if left > 0 {
		s.log.Warn("Too many crashes; not all are reported.", zap.Int("left_out", left))
	}
	view := s.network.View()
	byCollector := map[peer.Incarnation][]crash{}
	for _, c := range crashes {
		for _, id := range collectorsOf(c.Fingerprint, view) {
			byCollector[id] = append(byCollector[id], c)
		}
	}
	for id, list := range byCollector {
		if id == view.Self.Incarnation {
			s.collect(list, time.Now())
			continue
		}
		go s.reportTo(id, list)
	}
}

func (s *suspicion) reportTo(id peer.Incarnation, crashes []crash) {
	ctx, cancel := context.WithTimeout(s.life, reportTimeout)
	defer cancel()
	if err := s.network.Call(ctx, id, methodCrashes, crashes, nil); err != nil {
		s.log.Warn("Crashes not reported to a collector.", zap.String("member", string(id)), zap.Int("crashes", len(crashes)), zap.Error(err))
	}
}

// collectorsOf gives the processes that collect the reports on a request: the first
// by rendezvous among the living.
func collectorsOf(f suspect.Fingerprint, view *peer.View) []peer.Incarnation {
	return view.HighestRanked(collectors, func(id peer.Incarnation) uint64 { return routing.RendezvousScore(string(f), string(id)) })
}

// tell tells all processes of the crashes under convicted requests.
func (s *suspicion) tell(crashes []crash) {
	s.mu.Lock()
	s.told++
	version := s.told
	s.mu.Unlock()
	// Each message has a key of its own, so that none replaces one that a peer
	// hasn't had yet.
	err := s.network.Publish(peer.TopicSuspect, strconv.FormatUint(version, 10), version, toldFor, crashes)
	if err != nil {
		s.log.Warn("Peers not told of a conviction.", zap.Error(err))
	}
}
