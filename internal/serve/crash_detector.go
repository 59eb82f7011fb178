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
	// crashesToConvict is how many targets a request may crash. Requests that ran on the same
	// target are suspected too, but it is no coincidence if a request was there at three
	// crashes. Users accept only a few retries after the third crash.
	crashesToConvict = 3
	// probeDelay is how long after a connection broke its target is probed. The port of a
	// crashed process closes a few milliseconds later at most.
	probeDelay = 50 * time.Millisecond
	// probeTimeout limits the probe. A target that accepts a connection is alive.
	probeTimeout = 300 * time.Millisecond
	// collectorCount is how many processes collect the crash reports of one request. If one of
	// them is gone, the other still counts the crashes.
	collectorCount = 2
	// reportJitter is the maximum random delay before a crash is reported. reportInterval is
	// the minimum time between two reports; crashes seen in between are sent together.
	reportJitter   = 100 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// reportTimeout limits the call that sends one report.
	reportTimeout = time.Second
	// maxCrashesPerReport limits one report. Further crashes are recorded in this process
	// only.
	maxCrashesPerReport = 64
	// convictionTTL is how long the peers keep a conviction for processes that join. It is
	// longer than callers keep retrying one request.
	convictionTTL = time.Minute
)

// maxLoggedParts limits the parts of a prompt in a log line.
const maxLoggedParts = 16

const methodCrashes = "suspicion.crashes"

// crash is the crash of one target while it ran a request, as sent to peers.
type crash struct {
	Fingerprint suspect.Fingerprint `json:"f"`
	Address     string              `json:"a"`
}

// crashDetector finds the requests that crash the targets that run them. It works together
// with the other processes, because callers resend such requests to any of them. Each crash is
// reported to the collectors of its request only, and only a conviction is published to all
// processes: when many targets crash at once, every request that ran on them is suspected, and
// publishing each suspicion would saturate the network links of small VMs. It implements
// run.Suspicion.
type crashDetector struct {
	log     *zap.Logger
	network peer.Network
	table   *suspect.Table
	baseCtx context.Context

	mu             sync.Mutex // guards the fields below; no other lock is taken while it is held
	pending        []crash
	dropped        int // crashes left out of the next report
	reportedAt     time.Time
	publishVersion uint64
	announcedAt    map[suspect.Fingerprint]time.Time // when a conviction was published
}

var _ run.Suspicion = (*crashDetector)(nil)

func newCrashDetector(baseCtx context.Context, log *zap.Logger, network peer.Network) *crashDetector {
	s := &crashDetector{
		log: log, network: network, table: suspect.NewTable(string(network.Self().Incarnation)), baseCtx: baseCtx,
		announcedAt: map[suspect.Fingerprint]time.Time{},
	}
	network.Subscribe(peer.TopicSuspect, s.handlePublished)
	peer.HandleCall(network, methodCrashes, func(crashes []crash) (any, error) {
		s.handleReport(crashes, time.Now())
		return struct{}{}, nil
	})
	return s
}

// handlePublished records the crashes that a peer has published. The clock of the peer may
// differ, so they are recorded with the local time.
func (s *crashDetector) handlePublished(item peer.Item) {
	var crashes []crash
	if err := json.Unmarshal(item.Body, &crashes); err != nil {
		s.log.Warn("Crash reports of a peer can't be decoded.", zap.String("member", string(item.Origin)), zap.Error(err))
		return
	}
	s.recordReported(crashes, time.Now())
}

func (s *crashDetector) recordReported(crashes []crash, now time.Time) {
	for _, c := range crashes {
		s.table.MergeEvidence(suspect.Evidence{
			Fingerprint: c.Fingerprint, Crashes: []suspect.Crash{{Address: c.Address, At: now}},
		}, now)
	}
}

// handleReport records reported crashes and publishes the requests that they convict to all
// processes.
func (s *crashDetector) handleReport(crashes []crash, now time.Time) {
	s.recordReported(crashes, now)
	var convictions []crash
	for _, c := range crashes {
		if s.Convicted(c.Fingerprint) && s.markAnnounced(c.Fingerprint, now) {
			convictions = append(convictions, s.crashesOf(c.Fingerprint)...)
		}
	}
	if len(convictions) > 0 {
		s.publishCrashes(convictions)
	}
}

// markAnnounced marks a conviction as published and reports whether it wasn't before.
func (s *crashDetector) markAnnounced(f suspect.Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for old, at := range s.announcedAt {
		if now.Sub(at) > convictionTTL {
			delete(s.announcedAt, old)
		}
	}
	if _, announced := s.announcedAt[f]; announced {
		return false
	}
	s.announcedAt[f] = now
	return true
}

// crashesOf lists the known crashes of a request.
func (s *crashDetector) crashesOf(f suspect.Fingerprint) []crash {
	var list []crash
	for _, c := range s.table.CrashedTargets(f, time.Now()) {
		list = append(list, crash{Fingerprint: f, Address: c})
	}
	return list
}

// Convicted reports whether a request has crashed so many targets that it may not run again.
func (s *crashDetector) Convicted(f suspect.Fingerprint) bool {
	return s.table.CrashCount(f, time.Now()) >= crashesToConvict
}

// ConnectionBroke probes the target after a short delay and records a crash if it is down.
func (s *crashDetector) ConnectionBroke(c run.BrokenCall) {
	time.AfterFunc(probeDelay, func() {
		if s.baseCtx.Err() != nil || !s.targetDied(c.Address) {
			return
		}
		s.log.Warn("Target died under a request.", zap.String("request", c.RequestID), zap.String("target", c.Target),
			zap.String("address", c.Address), zap.String("fingerprint", string(c.Content)), zap.Strings("parts", c.Parts[:min(len(c.Parts), maxLoggedParts)]),
			zap.Bool("events", c.Events))
		s.recordCrash(c.Content, c.Address)
	})
}

// targetDied reports whether connections to an address are refused.
func (s *crashDetector) targetDied(address string) bool {
	ctx, cancel := context.WithTimeout(s.baseCtx, probeTimeout)
	defer cancel()
	conn, err := conns.Dial(ctx, address)
	if err == nil {
		_ = conn.Close() // only probed
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (s *crashDetector) recordCrash(f suspect.Fingerprint, address string) {
	s.table.RecordCrash(f, address, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == maxCrashesPerReport {
		s.dropped++
		return
	}
	s.pending = append(s.pending, crash{Fingerprint: f, Address: address})
	if len(s.pending) == 1 {
		delay := max(reportInterval-time.Since(s.reportedAt), time.Duration(rand.Float64()*float64(reportJitter)))
		time.AfterFunc(delay, s.sendReports)
	}
}

// sendReports sends the crashes since the last report to their collectors.
func (s *crashDetector) sendReports() {
	s.mu.Lock()
	crashes, dropped := s.pending, s.dropped
	s.pending, s.dropped = nil, 0
	s.reportedAt = time.Now()
	s.mu.Unlock()
	if dropped > 0 {
		s.log.Warn("Too many crashes for one report; some are left out.", zap.Int("left_out", dropped))
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
			s.handleReport(list, time.Now())
			continue
		}
		go s.sendReport(id, list)
	}
}

func (s *crashDetector) sendReport(id peer.Incarnation, crashes []crash) {
	ctx, cancel := context.WithTimeout(s.baseCtx, reportTimeout)
	defer cancel()
	if err := s.network.Call(ctx, id, methodCrashes, crashes, nil); err != nil {
		s.log.Warn("Crashes not reported to a collector.", zap.String("member", string(id)), zap.Int("crashes", len(crashes)), zap.Error(err))
	}
}

// collectorsOf returns the processes that collect the crash reports of a request: the live
// members with the highest rendezvous scores.
func collectorsOf(f suspect.Fingerprint, view *peer.View) []peer.Incarnation {
	return view.HighestRanked(collectorCount, func(id peer.Incarnation) uint64 { return routing.RendezvousScore(string(f), string(id)) })
}

// publishCrashes publishes the crashes of convicted requests to all processes.
func (s *crashDetector) publishCrashes(crashes []crash) {
	s.mu.Lock()
	s.publishVersion++
	version := s.publishVersion
	s.mu.Unlock()
	// Each message has its own key, so that it doesn't replace one that a peer hasn't received
	// yet.
	err := s.network.Publish(peer.TopicSuspect, strconv.FormatUint(version, 10), version, convictionTTL, crashes)
	if err != nil {
		s.log.Warn("Failed to publish a conviction to the peers.", zap.Error(err))
	}
}
