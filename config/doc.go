// Package config reads the KDL configurations of installations that run without the platform: a controller's
// ([ReadController]), a sidecar's ([ReadSidecar]), a controller's list of nodes ([Controller.ReadNodes]) and the agreed
// configuration of a group ([ParseAgreed], [ParseRecordWrites]).
//
// The fields of the structs are named in the terms of the project. KDL keys partly differ from them: the key of a
// controller is "conductor", and that of a machine type is "kind". Each key is mapped to its field in one place, mostly
// in a map of readers by key. A configuration with a fault must not be used: the error is of type kdl.Faults, which
// has the line and the reason of each fault. Functions that read a file wrap this error with the path of the file.
//
// The package also converts the records of the agreed configuration into routes and overrides ([Agreed]), and checks
// whether a controller can use them ([Controller.ValidateProposal], [Controller.ValidateUpdate]). [FileKind]
// distinguishes the files of controllers, sidecars and lists of nodes.
package config
