package prefixindex

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a prompt's description.
const (
	maxParts      = 4096    // a description with more parts is ignored
	maxPartTokens = 1 << 28 // tokens of one part
)

// ParseParts reads the header Prompt-Prefix. It has the form
// id:tokens,id:tokens. For a value that can't be parsed it returns nil, and the request is placed without the hint.
func ParseParts(header string) []Part {
	if header == "" {
		return nil
	}
	var parts []Part
	for _, text := range strings.Split(header, ",") {
		part, ok := parsePart(text)
		if !ok || len(parts) > maxParts {
			return nil
		}
		parts = append(parts, part)
	}
	return parts
}

// parsePart parses one part, an id and its tokens. An id that is no hexadecimal
// number is hashed.
func parsePart(text string) (part Part, ok bool) {
	name, count, found := strings.Cut(strings.TrimSpace(text), ":")
	if !found || name == "" {
		return Part{}, false
	}
	id, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		id = xxhash.Sum64String(name)
	}
	tokens, err := strconv.Atoi(count)
	if err != nil || tokens < 0 || tokens > maxPartTokens {
		return Part{}, false
	}
	return Part{ID: id, Tokens: tokens}, true
}
