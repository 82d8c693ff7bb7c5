// Package adminapi answers the operator's HTTP calls at the control address: reading and changing the configuration,
// evacuating zones and readmitting them. It parses a call, bounds its time, and gives it to the [ControlState], which
// decides; its only state is since when no primary is known. Errors become a status and a text here (package
// errkind has the table).
package adminapi
