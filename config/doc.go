// Package config reads the KDL configurations of installations that run without the platform: a controller's
// ([ReadController]), a sidecar's ([ReadSidecar]), a controller's list of nodes ([Controller.ReadNodes]) and the agreed
// configuration of a group ([ParseAgreed], [ParseRecordWrites]).
//
// The structs mirror the KDL settings in the project's terms; the KDL keys are mapped to them once, where a reader is
// registered by its key. A configuration with a fault is not used: the error is of type kdl.Faults, which has the line and
// the reason of each, wrapped with the file's path.
//
// The package also turns the records of the agreed configuration into routes and overrides ([Agreed]), and tells whether a
// controller can use them ([Controller.ValidateProposal], [Controller.ValidateUpdate]).
package config
