package simulation

// measurements holds the state between ticks that the measurements of a run need.
type measurements struct {
	commitTick   map[uint64]int // by agreed version; replaced by convergenceMeasured once all sidecars hold the version
	leaderLostAt int            // tick, or noTick while there is a leader
	lastLeader   uint64         // member id; 0 before the first election
}

const (
	noTick              = -1 // stands for a tick that is not known or has not come
	convergenceMeasured = -1 // stands for a commit tick whose convergence time is already recorded
)

func newMeasurements() measurements {
	return measurements{commitTick: map[uint64]int{}, leaderLostAt: noTick}
}

// isAgreed reports whether the group has agreed on a version.
func (m *measurements) isAgreed(version uint64) bool {
	_, agreed := m.commitTick[version]
	return agreed
}

// newestAgreed returns the newest version that the group has agreed on, or 0 if there is none.
func (m *measurements) newestAgreed() (newest uint64) {
	for version := range m.commitTick {
		newest = max(newest, version)
	}
	return newest
}

// measureCommit records the tick at which the group agreed on a version. For the first new version after the loss of a
// leader, it also records the time since the loss.
func (w *world) measureCommit(version uint64) {
	m := &w.measurements
	if m.isAgreed(version) {
		return
	}
	m.commitTick[version] = w.now
	if m.leaderLostAt != noTick && w.now > m.leaderLostAt {
		w.outcome.Gap = append(w.outcome.Gap, w.now-m.leaderLostAt)
		m.leaderLostAt = noTick
	}
}

// measureLeader records the tick at which the process of the last known leader goes down.
func (w *world) measureLeader() {
	m := &w.measurements
	leader := uint64(0)
	for _, candidate := range w.members {
		if candidate.up && candidate.IsLeader() {
			leader = candidate.id
		}
	}
	if m.lastLeader != 0 && !w.members[m.lastLeader-1].up && m.leaderLostAt == noTick {
		m.leaderLostAt = w.now
	}
	if leader != 0 {
		m.lastLeader = leader
	}
}

// measureConvergence records the time from the commit of the newest version until all sidecars held it, once for each
// version.
func (w *world) measureConvergence() {
	newest := w.measurements.newestAgreed()
	if newest == 0 || !w.allSidecarsHaveVersion(newest) {
		return
	}
	committedAt := w.measurements.commitTick[newest]
	if committedAt == convergenceMeasured {
		return
	}
	w.outcome.Converged = append(w.outcome.Converged, w.now-committedAt)
	w.measurements.commitTick[newest] = convergenceMeasured
	if w.outcome.Settled < 0 && committedAt >= w.faultFreeFrom {
		w.outcome.Settled = w.now - w.faultFreeFrom
	}
}

// allSidecarsHaveVersion reports whether all sidecars hold a version or a newer one.
func (w *world) allSidecarsHaveVersion(version uint64) bool {
	for _, sidecarVersion := range w.sidecars {
		if sidecarVersion < version {
			return false
		}
	}
	return true
}

// measureLogs records the length of the longest log of the members that are up.
func (w *world) measureLogs() {
	for _, m := range w.members {
		if m.up {
			w.outcome.Entries = max(w.outcome.Entries, int(m.Status().Entries))
		}
	}
}
