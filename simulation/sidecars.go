package simulation

const (
	pollIntervalTicks   = 7  // between two polls of a sidecar
	switchIntervalTicks = 50 // after which a sidecar switches to another member
)

// updateSidecars lets each sidecar poll a member every pollIntervalTicks ticks. A sidecar keeps the published version
// if it is newer than its own.
func (w *world) updateSidecars() {
	for sidecar := range w.sidecars {
		if (w.now+sidecar)%pollIntervalTicks == 0 {
			w.updateSidecar(sidecar)
		}
	}
}

// updateSidecar lets a sidecar poll its current member, if that is responsive.
func (w *world) updateSidecar(sidecar int) {
	m := w.members[(sidecar+w.now/switchIntervalTicks)%len(w.members)]
	if !w.isResponsive(m) {
		return
	}
	version := m.State.Current()
	if m.uncommitted.Number > version.Number {
		version = m.uncommitted
	}
	if version.Number == 0 {
		return
	}
	w.checkPublished(m, version)
	if version.Number > w.sidecars[sidecar] {
		w.sidecars[sidecar] = version.Number
		w.trace("sidecar %d holds %d", sidecar, version.Number)
	}
}
