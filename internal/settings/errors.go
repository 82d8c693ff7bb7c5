package settings

import "fmt"

// InvalidError says why settings are invalid: a key and what is wrong with it, or an error that names both.
type InvalidError struct {
	Key    string // as in the file, with the keys around it: "bounds.contact_ms"; empty if Err is set
	Reason string // follows the key in a sentence
	Err    error
}

func (e *InvalidError) Error() string {
	if e.Err != nil {
		return e.Err.Error()
	}
	return fmt.Sprintf("settings: %s %s", e.Key, e.Reason)
}

func (e *InvalidError) Unwrap() error { return e.Err }

func invalid(key, reason string) error { return &InvalidError{Key: key, Reason: reason} }
