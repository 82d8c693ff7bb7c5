// Package frontend accepts clients' connections and serves them with net/http: one catch-all handler, with the limits
// of the configuration in force.
//
// A [Server] owns its listener, one http.Server for each set of limits that still has connections, and the connections
// themselves. Nothing of it is stored. All its methods may be called concurrently.
package frontend
