package daemon

import (
	"context"

	"go.uber.org/zap"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/internal/certs"
)

// role is the role of the controller in a group that agrees on configuration.
type role interface {
	// run runs the role until ctx is canceled. If it returns an error, the controller must stop.
	run(ctx context.Context) error
	// ready returns a channel that is closed when the controller may serve sidecars.
	ready() <-chan struct{}
}

// immediatelyReady is a part of a role whose controller may serve sidecars from the start.
type immediatelyReady struct{}

func (immediatelyReady) ready() <-chan struct{} {
	ready := make(chan struct{})
	close(ready)
	return ready
}

// standaloneRole is the role of a controller that neither is a member of a group nor follows one.
type standaloneRole struct{ immediatelyReady }

func (standaloneRole) run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// newRole creates the role that the configuration specifies: member of a group, follower of a group, or alone.
func newRole(settings *config.Controller, w *watcher, certificates *certs.Reloader, log *zap.Logger) (role, error) {
	switch {
	case settings.Group != nil:
		return newMemberRole(settings.Group, w, certificates, log)
	case settings.Follower != nil:
		f, err := newFollowerRole(settings, w, certificates, log)
		if err != nil {
			return nil, err
		}
		w.server.RegisterServices = f.client.Register
		return f, nil
	default:
		return standaloneRole{}, nil
	}
}
