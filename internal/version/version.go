// Package version holds the version of the programs.
package version

// Number is the version that --version prints and that state pages show.
const Number = "0.1.0"
