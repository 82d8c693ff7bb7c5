// Package settings reads and checks the settings file that the platform gives each process ("What a process is told"
// in the deploy page; keys and units are that page's). A [Settings] is not changed after it was read; a reload makes a
// new one.
//
// Keys that are left out are 0, empty or false unless a default is named. Keys that a program doesn't know are ignored:
// the file may get new ones.
package settings
