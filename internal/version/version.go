// Package version holds the version of the programs.
package version

// Number is what --version prints.
const Number = "0.1.0"
