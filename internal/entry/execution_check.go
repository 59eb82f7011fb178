package entry

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/command/claim"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/submissions"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// methodSubmissions is the peer call that returns what a process knows about an
// idempotency key.
const methodSubmissions = "submissions"

const (
	// checkTimeout bounds a check, which reads the claim and queries the peers.
	checkTimeout = 300 * time.Millisecond
	// maxPeersAsked bounds the peers that are queried, maxConcurrentChecks the
	// checks in progress. Beyond either the answer is "unknown".
	maxPeersAsked       = 32
	maxConcurrentChecks = 64
	// peerHistoryPeriod is how often the peer history is updated with the
	// current peers.
	peerHistoryPeriod = 250 * time.Millisecond
	// joinTimeout bounds how long a starting process waits until its peers know
	// it. Without a limit it would wait forever for a VM that is listed but
	// dead.
	joinTimeout      = 3 * time.Second
	joinPollInterval = 50 * time.Millisecond
)

// executionChecker determines whether "not run" is true for an idempotency key,
// across all submissions of the key.
type executionChecker struct {
	server      *Server
	history     *submissions.History
	peerHistory *submissions.PeerHistory
	checks      chan struct{} // semaphore; one slot for each check in progress
	// joined is closed once the other entry processes know this one, or after
	// joinTimeout.
	joined chan struct{}
}

func newExecutionChecker(s *Server) *executionChecker {
	c := &executionChecker{
		server:      s,
		history:     submissions.NewHistory(s.opts.RetryWindow),
		peerHistory: submissions.NewPeerHistory(s.opts.RetryWindow, time.Now()),
		checks:      make(chan struct{}, maxConcurrentChecks), joined: make(chan struct{}),
	}
	s.opts.Network.Handle(methodSubmissions, c.handleQuery)
	return c
}

func (c *executionChecker) run(ctx context.Context) {
	c.waitUntilKnown(ctx)
	for wait.Jittered(ctx, peerHistoryPeriod) {
		c.refreshPeers()
	}
}

// waitUntilKnown waits until the other entry processes know this one. Callers
// that cached its address before a restart may send requests at once, and a VM
// that doesn't know this process yet would not ask it about submissions in
// progress.
func (c *executionChecker) waitUntilKnown(ctx context.Context) {
	defer close(c.joined)
	until := time.Now().Add(joinTimeout)
	for time.Now().Before(until) && !c.knownToAllPeers() {
		if !wait.Jittered(ctx, joinPollInterval) {
			return
		}
	}
}

// knownToAllPeers queries all peers. A peer that answers knows this process by
// then.
func (c *executionChecker) knownToAllPeers() bool {
	if !c.server.vms.loaded() {
		return false
	}
	members := c.refreshPeers()
	if len(members) > maxPeersAsked {
		return true // above maxPeersAsked no process queries its peers
	}
	if c.hasUnseenEntryVM(members) {
		return false
	}
	_, incomplete := c.queryPeers(members, "")
	return !incomplete
}

// hasJoined reports whether the peers know this process or joinTimeout has
// passed.
func (c *executionChecker) hasJoined() bool {
	select {
	case <-c.joined:
		return true
	default:
		return false
	}
}

// waitJoined waits until hasJoined is true. It returns false if the deadline
// passes first.
func (c *executionChecker) waitJoined(deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-c.joined:
		return true
	case <-timer.C:
		return false
	}
}

// refreshPeers returns the other entry processes and updates the peer history
// with them.
func (c *executionChecker) refreshPeers() []peer.Member {
	entries := submissions.EntryProcesses(c.server.opts.Network.Members())
	c.peerHistory.Update(entries, time.Now())
	return entries
}

// refusedSubmission is a submission that was refused and certainly did not run
// itself. Other submissions of the same key may have run.
type refusedSubmission struct {
	requestID       string
	customer        string // empty if unknown
	key             string // the Idempotency-Key; empty without one
	firstSubmission bool   // the caller states that this is the first submission of the key
	// submission is this submission's entry in the history; nil if it was
	// refused before one was made.
	submission *submissions.Submission
}

// executionOf returns whether any submission of the refused submission's key
// ran, as far as that is certain.
func (c *executionChecker) executionOf(r refusedSubmission) problem.Execution {
	switch {
	case r.key == "" || r.firstSubmission:
		return problem.NotRun
	case r.customer == "":
		return problem.Unknown
	}
	select {
	case c.checks <- struct{}{}:
		defer func() { <-c.checks }()
	default:
		return problem.Unknown
	}
	// The request's own deadline may have passed already; that may be why it
	// was refused.
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	return submissions.Decide(c.collectFacts(ctx, r))
}

// collectFacts reads the claim before it queries the peers. A submission that
// is claimed in between is then either still in progress at a peer or was sent,
// so it is not missed.
func (c *executionChecker) collectFacts(ctx context.Context, r refusedSubmission) submissions.Facts {
	facts := submissions.Facts{Claim: c.claimState(ctx, r)}
	if facts.Claim == submissions.ClaimFinished || facts.Claim == submissions.ClaimHeld {
		return facts
	}
	now := time.Now()
	key := submissions.KeyOf(r.customer, r.key)
	members := c.refreshPeers()
	facts.PeerUnknown = c.hasUnseenEntryVM(members)
	facts.Reports, facts.PeerSilent = c.queryPeers(members, key)
	facts.Reports = append(facts.Reports, c.peerHistory.Annotate(c.history.Lookup(key, r.submission, now), now))
	return facts
}

func (c *executionChecker) claimState(ctx context.Context, r refusedSubmission) submissions.Claim {
	row, err := c.server.claims.Lookup(ctx, claim.Identity{Customer: r.customer, IdempotencyKey: r.key})
	switch {
	case err != nil:
		return submissions.ClaimUnknown
	case row == nil || row.State == claim.Released || row.RequestID == r.requestID:
		return submissions.ClaimFree
	case row.State == claim.Finished:
		return submissions.ClaimFinished
	default:
		return submissions.ClaimHeld
	}
}

type submissionsQuery struct {
	Key submissions.Key `json:"key"`
}

// queryPeers queries all peers. incomplete is true if one of them did not
// answer or there are more than maxPeersAsked.
func (c *executionChecker) queryPeers(members []peer.Member, key submissions.Key) (known []submissions.KeyHistory, incomplete bool) {
	if len(members) > maxPeersAsked {
		return nil, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	answers := make([]submissions.KeyHistory, len(members))
	group, ctx := errgroup.WithContext(ctx)
	for i, m := range members {
		group.Go(func() error {
			return c.server.opts.Network.Call(ctx, m.Incarnation, methodSubmissions, submissionsQuery{key}, &answers[i])
		})
	}
	if group.Wait() != nil {
		return nil, true
	}
	return answers, false
}

// handleQuery answers a peer's query with what this process knows.
func (c *executionChecker) handleQuery(_ context.Context, params json.RawMessage) (any, error) {
	var query submissionsQuery
	if err := json.Unmarshal(params, &query); err != nil {
		return nil, err
	}
	now := time.Now()
	return c.peerHistory.Annotate(c.history.Lookup(query.Key, nil, now), now), nil
}

// hasUnseenEntryVM reports whether the VM list has a live entry VM that isn't
// among the members. Either this process or that VM has just started, or the VM
// is dead and the list lags.
func (c *executionChecker) hasUnseenEntryVM(members []peer.Member) bool {
	seen := map[string]bool{c.server.opts.Network.Self().CallerAddress: true}
	for _, m := range members {
		seen[m.CallerAddress] = true
	}
	for _, vm := range c.server.vms.get() {
		if vm.Role == backing.RoleEntry && vm.State == backing.VMLive && !seen[vm.Address] {
			return true
		}
	}
	return false
}
