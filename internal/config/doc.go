// Package config is the operator's configuration: routes, the services ("backend pools") that they lead to, and
// whatever else the operator sends. A [Document] keeps every item as it was sent, unknown keys included, so that
// reading it back gives what was written; beside it stands the typed form of the keys that this version knows.
//
// The package holds no state: documents are made from one another and never changed. The newest one belongs to package
// state.
package config
