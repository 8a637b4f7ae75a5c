package simulation

// schedule has something happen some ticks from now.
func (w *world) schedule(ticks int, run func()) { w.events.Schedule(w.now+ticks, run) }

// runDue runs all events that are due, also those that an event schedules for the same tick.
func (w *world) runDue() {
	for event, due := w.events.PopDue(w.now); due; event, due = w.events.PopDue(w.now) {
		event.Run()
	}
}
