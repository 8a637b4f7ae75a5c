package simulation

// schedule adds an event that runs after a number of ticks.
func (w *world) schedule(ticks int, run func()) { w.events.Schedule(w.now+ticks, run) }

// runDue runs all events that are due, including those that an event schedules for the current tick.
func (w *world) runDue() {
	for event, due := w.events.PopDue(w.now); due; event, due = w.events.PopDue(w.now) {
		event.Run()
	}
}
