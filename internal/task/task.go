// Package task is the project's context: what a task needs of its surroundings in one argument.
package task

import (
	"context"
	"log/slog"
	"time"
)

// Scope carries a task's life and its log.
type Scope struct {
	ctx  context.Context
	stop context.CancelFunc
	log  *slog.Logger
}

// New makes the root scope of a program or a test.
func New(log *slog.Logger) *Scope {
	ctx, stop := context.WithCancel(context.Background())
	return &Scope{ctx, stop, log}
}

// Part makes a child whose log lines start with the part's prefix.
func (s *Scope) Part(name string) *Scope {
	ctx, stop := context.WithCancel(s.ctx)
	return &Scope{ctx, stop, s.log.With("part", name)}
}

// Within makes a child that ends after d.
func (s *Scope) Within(d time.Duration) *Scope {
	ctx, stop := context.WithTimeout(s.ctx, d)
	return &Scope{ctx, stop, s.log}
}

// Context gives the standard library's view of the scope.
func (s *Scope) Context() context.Context { return s.ctx }

// Done is closed when the scope ends.
func (s *Scope) Done() <-chan struct{} { return s.ctx.Done() }

// Ended tells whether the scope has ended.
func (s *Scope) Ended() bool { return s.ctx.Err() != nil }

// Stop ends the scope and its children.
func (s *Scope) Stop() { s.stop() }

// Log is the scope's log.
func (s *Scope) Log() *slog.Logger { return s.log }
