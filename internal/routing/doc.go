// Package routing compiles the operator's configuration into a table: which route a request takes, and the steps of
// its handling.
//
// A [Table] belongs to one revision of the configuration and is never changed after [Compile] made it, so any number of
// goroutines may read it; a new revision is a new table, and requests that began with the old one finish with it. The package owns no
// state: a restart compiles the table anew from the configuration. Names are those of the configuration, whose checks
// stand in package config; a document that passed them compiles without errors.
package routing
