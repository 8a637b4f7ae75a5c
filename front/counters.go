package front

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/internal/invariant"
)

const tellEvery = 10 * time.Second // between two lines of counters, if any moved

// Counters count what the stages met since the start.
type Counters struct {
	Accepted, TurnedAway, Idle    atomic.Uint64 // connections: let in, closed for want of room, closed for silence
	Messages, BadMessages         atomic.Uint64 // of collectors
	BadFrames                     atomic.Uint64 // connections closed for what can't be told apart
	Calls, Refused, Doubted       atomic.Uint64 // calls to the relay, orders refused, calls of unknown outcome
	News, NewsBroken              atomic.Uint64 // times that news began, and broke
	Lists, ListsBroken, ListTurns atomic.Uint64 // lists, failed requests, versions that went backwards
}

func (c *Counters) fields() []zap.Field {
	var fields []zap.Field
	for _, f := range []struct {
		name  string
		count *atomic.Uint64
	}{
		{"accepted", &c.Accepted}, {"turned_away", &c.TurnedAway}, {"idle", &c.Idle},
		{"messages", &c.Messages}, {"bad_messages", &c.BadMessages}, {"bad_frames", &c.BadFrames},
		{"calls", &c.Calls}, {"refused_orders", &c.Refused}, {"doubted_calls", &c.Doubted},
		{"news", &c.News}, {"news_broken", &c.NewsBroken},
		{"lists", &c.Lists}, {"lists_broken", &c.ListsBroken}, {"list_turns", &c.ListTurns},
	} {
		fields = append(fields, zap.Uint64(f.name, f.count.Load()))
	}
	return append(fields, zap.Uint64("breaches", invariant.Breaches()))
}

// Tell writes the counters to the log now and then, until ctx ends, and once more then.
func (c *Counters) Tell(ctx context.Context, log *zap.Logger) {
	for sleep(ctx, tellEvery) {
		log.Info("counters", c.fields()...)
	}
	log.Info("counters", c.fields()...)
}
