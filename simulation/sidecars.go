package simulation

const (
	pollTicks = 7  // between two polls of a sidecar
	moveTicks = 50 // after which a sidecar polls another member
)

// updateSidecars has each sidecar poll one member now and then and take what that has published, unless it is older than
// what it holds.
func (w *world) updateSidecars() {
	for sidecar := range w.sidecars {
		if (w.now+sidecar)%pollTicks == 0 {
			w.updateSidecar(sidecar)
		}
	}
}

// updateSidecar has a sidecar poll a member.
func (w *world) updateSidecar(sidecar int) {
	m := w.members[(sidecar+w.now/moveTicks)%len(w.members)]
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
