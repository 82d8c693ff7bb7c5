package discovery

import (
	"errors"
	"fmt"
)

// Errors of a listing that can't be used.
var (
	// ErrInvalidPage says that a page is not of the list's form.
	ErrInvalidPage = errors.New("platform: page can't be read")
	// ErrIncompleteEntry says that an entry has no id, address or service.
	ErrIncompleteEntry = errors.New("platform: entry without id, address or service")
	// ErrTooManyPages says that a listing has over maxPages pages: its tokens may lead round in a circle.
	ErrTooManyPages = errors.New("platform: the list has too many pages")
	// ErrTooLarge says that a page, or all pages together, have more bytes than are read into memory.
	ErrTooLarge = errors.New("platform: the list has too many bytes")
)

// StatusError says that the platform answered with another status than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("platform answered %d", e.Status) }
