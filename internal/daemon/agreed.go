package daemon

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/records"
)

// checkProposal returns why proposed records cannot be used by this controller.
func (w *watcher) checkProposal(proposed []*records.Record) error {
	agreed, err := config.AgreedFromRecords(proposed)
	if err != nil {
		return err
	}
	w.stateLock.Lock()
	defer w.stateLock.Unlock()
	return w.settings.ValidateProposal(agreed, w.listed)
}

// checkChange returns why agreed configuration cannot replace the one in effect at this controller.
func (w *watcher) checkChange(agreed *config.Agreed) error {
	w.stateLock.Lock()
	defer w.stateLock.Unlock()
	return w.settings.ValidateUpdate(agreed, w.agreed, w.listed)
}

// applyAgreed puts agreed records into effect. Records that were agreed on take effect also where this controller's own
// list has changed since, so that they no longer fit: it logs that and goes on.
func (w *watcher) applyAgreed(view records.View) {
	agreed, err := config.AgreedFromRecords(view.Records)
	if err != nil {
		w.log.Error("agreed version can't be read", zap.Uint64("number", view.Revision), zap.Error(err))
		return
	}
	if err := w.checkFits(agreed); err != nil {
		w.log.Error("agreed version does not fit this controller", zap.Uint64("number", view.Revision), zap.Error(err))
	}
	w.publish(view.RoutingRevision, agreed)
}

func (w *watcher) checkFits(agreed *config.Agreed) error {
	w.stateLock.Lock()
	defer w.stateLock.Unlock()
	return w.settings.ValidateProposal(agreed, w.listed)
}

// publish puts routes and overrides into effect if they differ from those in effect, and reports whether they did. Most
// revisions change neither. Without an agreed route the controller's own routes stay.
//
// revision is the routing revision, which is the same at all controllers of the same scope whatever else each has
// received. Sidecars reject routes of a lower one than they have accepted, also from another controller.
func (w *watcher) publish(revision uint64, agreed *config.Agreed) (changed bool) {
	former, formerRevision := w.setAgreed(revision, agreed)
	routesChanged := len(agreed.Routes) > 0 && (revision != formerRevision || !slices.Equal(agreed.Routes, former.Routes))
	overridesChanged := !maps.Equal(agreed.Overrides, former.Overrides)
	if routesChanged {
		w.server.SetAgreedRoutes(revision, agreed.Routes)
	}
	if overridesChanged {
		select {
		case w.agreedChanged <- struct{}{}:
		default: // run is to apply them already
		}
	}
	return routesChanged || overridesChanged
}

// setAgreed replaces the agreed configuration and returns the former one, which is empty if there was none.
func (w *watcher) setAgreed(revision uint64, agreed *config.Agreed) (former *config.Agreed, formerRevision uint64) {
	w.stateLock.Lock()
	defer w.stateLock.Unlock()
	former = w.agreed
	formerRevision = w.routingRevision
	w.agreed = agreed
	w.routingRevision = revision
	if former == nil {
		former = &config.Agreed{}
	}
	return former, formerRevision
}
