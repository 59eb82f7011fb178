package origins

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
)

// methodRecall has a process read the table for one that the store doesn't answer.
const methodRecall = "origins.recall"

const (
	// ownReadTime is how long a request waits for this process's own read before others are asked to read. It is well
	// above what the store takes for an answer.
	ownReadTime = 100 * time.Millisecond
	// maxReadersAsked is how many processes are asked to read at a time.
	maxReadersAsked = 2
)

type recallCall struct {
	Key Key `json:"k"`
}

// recallAnswer has what the table says as of a read that began after the call. Read is false if it can't be read.
type recallAnswer struct {
	Read     bool           `json:"read"`
	Versions versionsAnswer `json:"versions"`
	// Origin is that of the stream, nil if the table doesn't have it.
	Origin *Origin `json:"o,omitempty"`
}

// readForPeer reads the table for another process.
func (l *Ledger) readForPeer(ctx context.Context, call recallCall) recallAnswer {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	if _, err := l.readSince(time.Now(), minReadPause).Await(ctx); err != nil {
		return recallAnswer{}
	}
	now := time.Now()
	answer := recallAnswer{Read: true, Versions: l.answerPeer(now)}
	l.addUnwritten(&answer.Versions, now)
	if origin, found := l.Recorded(call.Key); found {
		answer.Origin = &origin
	}
	return answer
}

// recallByPeers has other processes read the table, while this process's own read may still succeed.
func (l *Ledger) recallByPeers(ctx context.Context, key Key, own *tableRead) (origin Origin, found, read bool) {
	others := l.others(maxReadersAsked)
	answers := make(chan recallAnswer, len(others))
	for _, id := range others {
		go func() { answers <- l.askToRead(ctx, id, key) }()
	}
	ownDone := own.Done()
	for waiting := len(others); waiting > 0 || ownDone != nil; {
		select {
		case answer := <-answers:
			waiting--
			if !answer.Read || !l.applyAnswer(answer.Versions, time.Now()) {
				continue
			}
			if answer.Origin != nil {
				return *answer.Origin, true, true
			}
			return Origin{}, false, true
		case <-ownDone:
			ownDone = nil
			_, err := own.Result()
			if err == nil {
				origin, found = l.Recorded(key)
				return origin, found, true
			}
			l.Log.Info("Origin of a stream can't be read from the store.", zap.Error(err))
		case <-ctx.Done():
			return Origin{}, false, false
		}
	}
	return Origin{}, false, false
}

func (l *Ledger) askToRead(ctx context.Context, id peer.Incarnation, key Key) recallAnswer {
	var answer recallAnswer
	if err := l.Network.Call(ctx, id, methodRecall, recallCall{Key: key}, &answer); err != nil {
		l.Log.Debug("Process doesn't read the store for this one.", zap.String("member", string(id)), zap.Error(err))
		return recallAnswer{}
	}
	return answer
}
