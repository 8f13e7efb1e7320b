package view

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/text"
)

// pollInterval keeps a change well within the 3 s in which it must be in force.
const pollInterval = 500 * clock.Millis(1)

// Watcher keeps a View by reading the platform directly, which suits a few
// dozen processes. Exported fields are set before Run.
type Watcher struct {
	Platform *platform.Client
	Log      *event.Log

	current atomic.Pointer[View]
}

// Current returns the newest view; its version is 0 until one was read.
func (w *Watcher) Current() *View {
	if v := w.current.Load(); v != nil {
		return v
	}
	return New(0, nil, nil, nil)
}

// Run polls the platform until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval.Duration())
	defer ticker.Stop()
	for {
		if err := w.poll(ctx); err != nil && ctx.Err() == nil {
			w.Log.Error(event.PlatformFailed, err, nil)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll adopts a configuration only when its version is higher than the present.
func (w *Watcher) poll(ctx context.Context) error {
	old := w.Current()
	version, config, err := w.configuration(ctx, old)
	if err != nil {
		return err
	}
	marks, err := w.Platform.List(ctx, platform.KindOut, "")
	if err != nil {
		return err
	}
	var out []string
	for _, o := range marks.Objects() {
		out = append(out, o.Name())
	}
	instances, err := w.Platform.Instances(ctx)
	if err != nil {
		return err
	}
	w.current.Store(New(version, config, out, instances))
	return nil
}

func (w *Watcher) configuration(ctx context.Context, old *View) (uint64, *text.Text, error) {
	object, err := w.Platform.Get(ctx, platform.KindConfiguration, platform.NameRoot)
	if errors.Is(err, platform.ErrNotFound) {
		return old.Version(), old.Text(), nil
	}
	if err != nil {
		return 0, nil, err
	}
	if object.Version() <= old.Version() {
		return old.Version(), old.Text(), nil
	}
	parsed, err := text.Parse(object.Value())
	if err != nil {
		w.Log.Error(event.ConfigRejected, err, event.Fields{"version": object.Version()})
		return old.Version(), old.Text(), nil
	}
	w.Log.Emit(event.ConfigAdopted, event.Fields{"version": object.Version()})
	return object.Version(), parsed, nil
}
