package daemon

import (
	"context"

	"go.uber.org/zap"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/internal/certs"
)

// role is the controller's part in a group that agrees on configuration.
type role interface {
	// run plays the part until ctx ends. After an error the controller must not go on.
	run(ctx context.Context) error
}

// aloneRole is the role of a controller without a group.
type aloneRole struct{}

func (aloneRole) run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// newRole prepares the role that the configuration states: member of a group, follower of one, or alone.
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
		return aloneRole{}, nil
	}
}
