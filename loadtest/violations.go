package loadtest

import "fmt"

// Violation is an invariant that a controller violated. Invariants must hold in each run, whatever its bounds.
type Violation struct {
	Controller  string `json:"conductor"` // name
	Description string `json:"what"`
}

// String returns the line of the violation in reports.
func (v Violation) String() string { return "violation: " + v.Controller + ": " + v.Description }

// maxViolations limits the reported violations, since one defect of the program can affect many controllers.
const maxViolations = 20

// checkHistories compares the revisions that controllers accepted with the agreed configuration.
func checkHistories(model *Model, histories []*history, newestRevision uint64) (violations []Violation) {
	for controller, h := range histories {
		if h.isProgram {
			continue
		}
		for _, problem := range h.check(model, controller, newestRevision) {
			violations = append(violations, Violation{Controller: model.controllers[controller].Name, Description: problem})
			if len(violations) >= maxViolations {
				return violations
			}
		}
	}
	return violations
}

// check returns a description of each violation in a history.
func (h *history) check(model *Model, controller int, newestRevision uint64) (problems []string) {
	before := acceptance{}
	for _, accepted := range h.accepted {
		if accepted.incarnation == before.incarnation && accepted.revision < before.revision {
			problems = append(problems, fmt.Sprintf("it went back to revision %d after %d", accepted.revision, before.revision))
		}
		if problem := accepted.check(model, controller); problem != "" {
			problems = append(problems, problem)
		}
		before = accepted
	}
	if problem := h.checkFinal(model, controller, newestRevision); problem != "" {
		problems = append(problems, problem)
	}
	return problems
}

// checkFinal returns a description of the first violation in the controller's final state, or an empty string.
func (h *history) checkFinal(model *Model, controller int, newestRevision uint64) string {
	if h.final == nil {
		return "it did not report its records at the end"
	}
	if h.final.revision < newestRevision {
		return fmt.Sprintf("it had revision %d at the end, want the newest agreed revision %d", h.final.revision, newestRevision)
	}
	if problem := h.final.check(model, controller); problem != "" {
		return "at the end: " + problem
	}
	return ""
}

// check returns a description of the first violation in the contents of a revision, or an empty string.
func (a acceptance) check(model *Model, controller int) string {
	if a.outside > 0 {
		return fmt.Sprintf("revision %d has %d records outside its scope", a.revision, a.outside)
	}
	digest, known := model.DigestAt(controller, a.revision)
	if known && digest != a.digest {
		return fmt.Sprintf("revision %d has contents that differ from the agreed ones: a change was lost or is wrong", a.revision)
	}
	return ""
}
