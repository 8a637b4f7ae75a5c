package daemon

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/records"
)

// checkProposal returns an error if this controller cannot use the proposed records.
func (w *watcher) checkProposal(proposed []*records.Record) error {
	agreed, err := config.AgreedFromRecords(proposed)
	if err != nil {
		return err
	}
	w.stateLock.Lock()
	defer w.stateLock.Unlock()
	return w.settings.ValidateProposal(agreed, w.listedNodes)
}

// checkUpdate returns an error if this controller cannot replace the agreed configuration in effect by the given one.
func (w *watcher) checkUpdate(agreed *config.Agreed) error {
	w.stateLock.Lock()
	defer w.stateLock.Unlock()
	return w.settings.ValidateUpdate(agreed, w.agreed, w.listedNodes)
}

// applyAgreed puts agreed records into effect. If this controller's list of nodes has changed since the records were
// checked as a proposal, they may be invalid here: applyAgreed logs the error and still puts them into effect.
func (w *watcher) applyAgreed(view records.View) {
	agreed, err := config.AgreedFromRecords(view.Records)
	if err != nil {
		w.log.Error("cannot decode the agreed configuration", zap.Uint64("number", view.Revision), zap.Error(err))
		return
	}
	if err := w.validateAgreed(agreed); err != nil {
		w.log.Error("agreed configuration is invalid at this controller, applying it anyway", zap.Uint64("number", view.Revision), zap.Error(err))
	}
	w.publish(view.RoutingRevision, agreed)
}

// validateAgreed returns an error if the agreed configuration is invalid with the settings and the current list of
// nodes.
func (w *watcher) validateAgreed(agreed *config.Agreed) error {
	w.stateLock.Lock()
	defer w.stateLock.Unlock()
	return w.settings.ValidateProposal(agreed, w.listedNodes)
}

// publish puts routes and overrides into effect if they differ from those in effect, and reports whether any of them
// changed. Routes also count as changed if only their revision differs. Most revisions change neither routes nor
// overrides. If no route has been agreed on, the controller's own routes stay in effect.
//
// revision is the routing revision, which is the same at all controllers of a scope even if they have received
// different revisions. Sidecars reject routes whose revision is lower than one they have accepted, even from another
// controller.
func (w *watcher) publish(revision uint64, agreed *config.Agreed) (changed bool) {
	previous, previousRevision := w.setAgreed(revision, agreed)
	routesChanged := len(agreed.Routes) > 0 && (revision != previousRevision || !slices.Equal(agreed.Routes, previous.Routes))
	overridesChanged := !maps.Equal(agreed.Overrides, previous.Overrides)
	if routesChanged {
		w.server.SetAgreedRoutes(revision, agreed.Routes)
	}
	if overridesChanged {
		select {
		case w.pendingOverrides <- struct{}{}:
		default: // a notification is already pending
		}
	}
	return routesChanged || overridesChanged
}

// setAgreed replaces the agreed configuration and returns the previous one, which is empty if there was none.
func (w *watcher) setAgreed(revision uint64, agreed *config.Agreed) (previous *config.Agreed, previousRevision uint64) {
	w.stateLock.Lock()
	defer w.stateLock.Unlock()
	previous = w.agreed
	previousRevision = w.routingRevision
	w.agreed = agreed
	w.routingRevision = revision
	if previous == nil {
		previous = &config.Agreed{}
	}
	return previous, previousRevision
}
