package gather

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// Guards against a stage target that sends endless bytes staying in use because it says that it is full.
func TestEndlessAnswersCountAsFailures(t *testing.T) {
	endless := &upstream.BoundError{Part: upstream.RefusalBody}
	for _, tc := range []struct {
		err  error
		want pool.Outcome
	}{
		{ErrFull, pool.Full},
		{ErrMisdirected, pool.Misdirected},
		{endless, pool.Failed},
		{errors.Join(ErrFull, endless), pool.Failed},
		{&upstream.Failure{Sent: true, Err: &upstream.BoundError{Part: upstream.Head}}, pool.Failed},
		{&upstream.Failure{Err: errors.New("refused")}, pool.Unreachable},
	} {
		assert.Equal(t, outcomeOf(nil, tc.err), tc.want, "%v", tc.err)
	}
}
