package lab

const (
	lookEvery = 7  // ticks between two looks of a sidecar at a member
	moveEvery = 50 // ticks after which a sidecar looks at another member
)

// stream has each sidecar look at one member now and then and take what that has published, unless it is older than
// what it holds.
func (w *World) stream() {
	for k := range w.sidecars {
		if (w.now+k)%lookEvery == 0 {
			w.look(k)
		}
	}
}

// look has a sidecar look at a member.
func (w *World) look(sidecar int) {
	m := w.members[(sidecar+w.now/moveEvery)%len(w.members)]
	if !w.runs(m) {
		return
	}
	v := m.State.Current()
	if m.early.Number > v.Number {
		v = m.early
	}
	if v.Number == 0 {
		return
	}
	if was, known := w.texts[v.Number]; known && was != v.Text {
		w.violated("version %d is %q at member %d and %q elsewhere", v.Number, v.Text, m.id, was)
	}
	w.texts[v.Number] = v.Text
	if v.Number > w.sidecars[sidecar] {
		w.sidecars[sidecar] = v.Number
		w.note("sidecar %d holds %d", sidecar, v.Number)
	}
}
