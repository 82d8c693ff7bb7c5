package prefixindex

import (
	"math"

	"shaletrestle/internal/splitmix"
)

const (
	// sketchWidth is the number of counters in a row: thousands of live prefixes collide little.
	sketchWidth = 4096
	// sketchRows is the number of rows, of which the lowest counter is believed.
	sketchRows = 4
	// sketchHalvingInterval is the number of sightings after which all counts are halved, so that old prefixes fade.
	sketchHalvingInterval = 20000
)

// sketch counts sightings of keys in little memory. It is a count-min sketch
// whose counts are halved from time to time.
type sketch struct {
	rows      [sketchRows][sketchWidth]uint16
	additions int // since the counts were halved
}

// add counts one sighting and gives the key's count.
func (s *sketch) add(key Key) int {
	s.additions++
	if s.additions >= sketchHalvingInterval {
		s.additions = 0
		s.halve()
	}
	hash := splitmix.Mix(uint64(key))
	for row := range s.rows {
		counter := s.counter(row, hash)
		if *counter < math.MaxUint16 {
			*counter++
		}
	}
	return s.count(key)
}

// count is how often a key was seen, or a little more.
func (s *sketch) count(key Key) int {
	count := math.MaxUint16
	hash := splitmix.Mix(uint64(key))
	for row := range s.rows {
		count = min(count, int(*s.counter(row, hash)))
	}
	return count
}

func (s *sketch) halve() {
	for row := range s.rows {
		for column := range s.rows[row] {
			s.rows[row][column] /= 2
		}
	}
}

// counter is the counter of a hash in a row. The rows use different columns by
// double hashing: the upper half of the hash, made odd, is the step.
func (s *sketch) counter(row int, hash uint64) *uint16 {
	step := hash>>32 | 1
	column := (hash + uint64(row)*step) % sketchWidth
	return &s.rows[row][column]
}
