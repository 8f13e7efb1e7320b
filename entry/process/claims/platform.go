package claims

import (
	"context"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/request/claim"
)

// callPlatform makes the platform calls of one shard in order.
func (s *Service) callPlatform(ctx context.Context, shard int) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-s.callQueues[shard].Items():
			s.put(shardEvent{shard, s.call(ctx, a)})
		}
	}
}

// call makes one platform call and returns its result as an event.
func (s *Service) call(ctx context.Context, a claim.Action) claim.Event {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout.Duration())
	defer cancel()
	switch a := a.(type) {
	case claim.List:
		return s.list(ctx, a)
	case claim.Read:
		return s.read(ctx, a)
	case claim.Write:
		return s.write(ctx, a)
	}
	return claim.Tick{}
}

func (s *Service) list(ctx context.Context, l claim.List) claim.Event {
	if !s.rateLimiter.Read(s.Clock.Now()) {
		return claim.NewListFailed(l.CallID())
	}
	listing, err := s.Platform.List(ctx, claim.Kind, l.Prefix())
	if err != nil {
		s.Log.Error(event.PlatformFailed, err, nil)
		return claim.NewListFailed(l.CallID())
	}
	objects := make([]claim.Object, len(listing.Objects()))
	for i, o := range listing.Objects() {
		objects[i] = claim.NewObject(o.Name(), o.Version(), o.Value())
	}
	return claim.NewListResult(l.CallID(), objects)
}

func (s *Service) read(ctx context.Context, r claim.Read) claim.Event {
	if !s.rateLimiter.Read(s.Clock.Now()) {
		return claim.NewReadFailed(r.CallID())
	}
	o, err := s.Platform.Get(ctx, claim.Kind, r.Name())
	if errors.Is(err, platform.ErrNotFound) {
		return claim.NewReadResult(r.CallID(), claim.Object{})
	}
	if err != nil {
		s.Log.Error(event.PlatformFailed, err, nil)
		return claim.NewReadFailed(r.CallID())
	}
	return claim.NewReadResult(r.CallID(), claim.NewObject(r.Name(), o.Version(), o.Value()))
}

func (s *Service) write(ctx context.Context, w claim.Write) claim.Event {
	if !s.rateLimiter.Write(s.Clock.Now()) {
		return claim.NewWriteResult(w.CallID(), claim.Indeterminate, 0)
	}
	var version uint64
	var err error
	if w.Version() == 0 {
		version, err = s.Platform.Create(ctx, claim.Kind, w.Name(), w.Value())
	} else {
		version, err = s.Platform.Update(ctx, claim.Kind, w.Name(), w.Version(), w.Value())
	}
	switch {
	case err == nil:
		return claim.NewWriteResult(w.CallID(), claim.Applied, version)
	case errors.Is(err, platform.ErrConflict):
		return claim.NewWriteResult(w.CallID(), claim.Conflict, 0)
	}
	s.Log.Error(event.PlatformFailed, err, nil)
	return claim.NewWriteResult(w.CallID(), claim.Indeterminate, 0)
}
