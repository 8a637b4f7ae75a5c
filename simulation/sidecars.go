package simulation

const (
	pollInterval = 7  // ticks between two looks of a sidecar at a member
	moveInterval = 50 // ticks after which a sidecar looks at another member
)

// updateSidecars has each sidecar look at one member now and then and take what that has published, unless it is older
// than what it holds.
func (w *world) updateSidecars() {
	for k := range w.sidecars {
		if (w.now+k)%pollInterval == 0 {
			w.updateSidecar(k)
		}
	}
}

// updateSidecar has a sidecar look at a member.
func (w *world) updateSidecar(sidecar int) {
	m := w.members[(sidecar+w.now/moveInterval)%len(w.members)]
	if !w.isResponsive(m) {
		return
	}
	v := m.State.Current()
	if m.uncommitted.Number > v.Number {
		v = m.uncommitted
	}
	if v.Number == 0 {
		return
	}
	if was, known := w.textOfVersion[v.Number]; known && was != v.Text {
		w.addViolation("version %d is %q at member %d and %q elsewhere", v.Number, v.Text, m.id, was)
	}
	w.textOfVersion[v.Number] = v.Text
	if v.Number > w.sidecars[sidecar] {
		w.sidecars[sidecar] = v.Number
		w.trace("sidecar %d holds %d", sidecar, v.Number)
	}
}
