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

// methodSubmissions asks a peer what it knows of an idempotency key.
const methodSubmissions = "submissions"

const (
	// checkTimeout bounds the look at the claim and the question to the peers,
	// which go side by side.
	checkTimeout = 300 * time.Millisecond
	// maxAsked bounds the peers that are asked, maxChecks the checks at once.
	// Beyond them the answer is "unknown".
	maxAsked  = 32
	maxChecks = 64
	// rosterPeriod is how often the peers are looked at.
	rosterPeriod = 250 * time.Millisecond
	// settleTime bounds how long a process that starts waits to be known: a
	// listed VM may be dead.
	settleTime = 3 * time.Second
	settlePoll = 50 * time.Millisecond
)

// certainty finds out whether "not run" is true of an idempotency key.
type certainty struct {
	server *Server
	memory *submissions.History
	roster *submissions.PeerHistory
	checks chan struct{} // one for each check under way
	// settled is closed once the other entry processes know this one.
	settled chan struct{}
}

func newCertainty(s *Server) *certainty {
	c := &certainty{
		server: s,
		memory: submissions.NewHistory(s.opts.RetryWindow),
		roster: submissions.NewPeerHistory(s.opts.RetryWindow, time.Now()),
		checks: make(chan struct{}, maxChecks), settled: make(chan struct{}),
	}
	s.opts.Network.Handle(methodSubmissions, c.answer)
	return c
}

func (c *certainty) run(ctx context.Context) {
	c.settle(ctx)
	for wait.Jittered(ctx, rosterPeriod) {
		c.peers()
	}
}

// settle makes this process known to the others. Callers that hold its address
// from before may come at once, and a VM that doesn't know it yet would not ask
// it what it has under way.
func (c *certainty) settle(ctx context.Context) {
	defer close(c.settled)
	until := time.Now().Add(settleTime)
	for time.Now().Before(until) && !c.knownToAll() {
		if !wait.Jittered(ctx, settlePoll) {
			return
		}
	}
}

// knownToAll asks all others for something: whoever answers knows us by then.
func (c *certainty) knownToAll() bool {
	if !c.server.vms.known() {
		return false
	}
	members := c.peers()
	if len(members) > maxAsked {
		return true // nobody asks so many
	}
	if c.unseen(members) {
		return false
	}
	_, silent := c.ask(members, "")
	return !silent
}

// isSettled says that the others know this process, or that it waited for that
// long enough.
func (c *certainty) isSettled() bool {
	select {
	case <-c.settled:
		return true
	default:
		return false
	}
}

// waitSettled is false where the time is over before the others know us.
func (c *certainty) waitSettled(deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-c.settled:
		return true
	case <-timer.C:
		return false
	}
}

// peers are the other entry processes now; the roster sees them too.
func (c *certainty) peers() []peer.Member {
	entries := submissions.EntryProcesses(c.server.opts.Network.Members())
	c.roster.Update(entries, time.Now())
	return entries
}

// refused is a submission that was refused and certainly did not run itself.
type refused struct {
	requestID string
	customer  string // empty where it isn't known
	key       string // the Idempotency-Key; empty without one
	first     bool   // the caller says that it never submitted the key before
	// submission is its own note; nil where it was refused before there was
	// one.
	submission *submissions.Submission
}

// execution says what is certain of the key.
func (c *certainty) execution(r refused) problem.Execution {
	switch {
	case r.key == "" || r.first:
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
	// The request's own deadline may be over: that is why it was refused.
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	return submissions.Decide(c.facts(ctx, r))
}

// facts reads the claim before the peers are asked: a submission that is
// claimed in between is still under way there, or was sent.
func (c *certainty) facts(ctx context.Context, r refused) submissions.Facts {
	facts := submissions.Facts{Claim: c.claimOf(ctx, r)}
	if facts.Claim == submissions.ClaimFinished || facts.Claim == submissions.ClaimHeld {
		return facts
	}
	now := time.Now()
	key := submissions.KeyOf(r.customer, r.key)
	members := c.peers()
	facts.PeerUnknown = c.unseen(members)
	facts.Reports, facts.PeerSilent = c.ask(members, key)
	facts.Reports = append(facts.Reports, c.roster.Annotate(c.memory.Lookup(key, r.submission, now), now))
	return facts
}

func (c *certainty) claimOf(ctx context.Context, r refused) submissions.Claim {
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

type submissionsQuestion struct {
	Key submissions.Key `json:"key"`
}

// ask asks all peers; silent says that one of them did not answer.
func (c *certainty) ask(members []peer.Member, key submissions.Key) (known []submissions.KeyHistory, silent bool) {
	if len(members) > maxAsked {
		return nil, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	answers := make([]submissions.KeyHistory, len(members))
	group, ctx := errgroup.WithContext(ctx)
	for i, m := range members {
		group.Go(func() error {
			return c.server.opts.Network.Call(ctx, m.Incarnation, methodSubmissions, submissionsQuestion{key}, &answers[i])
		})
	}
	if group.Wait() != nil {
		return nil, true
	}
	return answers, false
}

// answer tells a peer what this process knows.
func (c *certainty) answer(_ context.Context, params json.RawMessage) (any, error) {
	var question submissionsQuestion
	if err := json.Unmarshal(params, &question); err != nil {
		return nil, err
	}
	now := time.Now()
	return c.roster.Annotate(c.memory.Lookup(question.Key, nil, now), now), nil
}

// unseen says that the VM list has a live entry VM that isn't among the
// members: one of the two has just started, or the other is dead and the list
// lags.
func (c *certainty) unseen(members []peer.Member) bool {
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
