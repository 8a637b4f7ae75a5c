// Package config reads the KDL configurations of installations that run without the platform: a controller's
// ([ReadController]), a sidecar's ([ReadSidecar]), a controller's list of nodes ([Controller.ReadNodes]) and the agreed
// configuration of a group ([ParseAgreed], [ParseRecordWrites]).
//
// The fields of the structs are named in the terms of the project. Each KDL key is mapped to its field in one place,
// where a reader is registered by its key. A configuration with a fault must not be used: the error is of type
// kdl.Faults, which has the line and the reason of each fault. Errors of files wrap it with the path of the file.
//
// The package also converts the records of the agreed configuration into routes and overrides ([Agreed]), and checks
// whether a controller can use them ([Controller.ValidateProposal], [Controller.ValidateUpdate]).
package config
