package upstream

import (
	"io"
	"net/http"
	"runtime"
)

const (
	// MaxResponseBytes bounds the body of a complete response.
	MaxResponseBytes = 32 << 20

	heldBodyBytes   = 256 << 10 // up to which a body is held until it is complete, so that another replica may be tried if it is not
	firstBodyBytes  = 4 << 10   // of memory for a body
	bodyGrowth      = 4         // by so much it grows as the body comes, up to what is announced
	blockBytes      = 32 << 10  // of a body that is passed on as it comes
	smallBlockBytes = 4 << 10   // of such a body while memory is short: no more than the connection's own buffer
	turnBytes       = 64 << 10  // of a body after which other goroutines have their turn
	framingFactor   = 2         // bytes received for each byte of a body, at most
	framingBytes    = 64 << 10  // received beyond that
)

// bodyReader reads a response's body for one exchange. What comes must be a body for the most part, not its framing, and is paced
// by the work that it costs.
type bodyReader struct {
	in       *intake
	source   io.Reader
	exchange *exchange
	payload  int64 // bytes of the body so far
	framing  int64 // bytes of its framing that were paced
	turn     int   // bytes since others had their turn
}

// Read reads of the body.
func (r *bodyReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	r.payload += int64(n)
	if r.payload > MaxResponseBytes && !r.exchange.isStream {
		return n, errBodyTooLarge
	}
	if r.in.bodyBytes > framingFactor*r.payload+framingBytes {
		return n, errFraming
	}
	if !r.exchange.pace(r.work(n)) {
		return n, errAbandoned
	}
	r.turn += n
	if r.turn >= turnBytes {
		r.turn = 0
		runtime.Gosched()
	}
	return n, err
}

// work is what a read cost beside copying its bytes, in the pacer's units.
func (r *bodyReader) work(read int) int {
	units := 0
	if read < smallReadBytes {
		units = 1
	}
	if framing := r.in.bodyBytes - r.payload - r.framing; framing >= workFramingBytes {
		units += int(framing / workFramingBytes)
		r.framing += framing - framing%workFramingBytes
	}
	return units
}

// deliverPlain delivers a body: as one part if it ends within heldBodyBytes and there is memory to hold it until then, else in
// blocks as it comes.
func deliverPlain(reader *bodyReader, response *http.Response, x *exchange) error {
	if response.ContentLength > MaxResponseBytes {
		return errBodyTooLarge
	}
	content, complete, err := x.holdBody(reader, response.ContentLength)
	if err != nil {
		return err
	}
	kind := PartBlock
	if complete {
		kind = PartBody
	}
	if !x.deliverAhead(Part{Kind: kind, Bytes: content}) {
		return errAbandoned
	}
	if complete {
		return nil
	}
	return x.deliverBlocks(reader)
}

// holdBody reads a body into memory until it ends, or until no more of it may be held. The length is negative if it is not known.
func (x *exchange) holdBody(reader io.Reader, length int64) (content []byte, complete bool, err error) {
	most := int64(heldBodyBytes)
	if length >= 0 {
		most = min(most, length+1) // the end is read too
	}
	size := min(firstBodyBytes, most)
	for x.account.take(size-int64(cap(content))) == nil {
		larger := make([]byte, len(content), size)
		copy(larger, content)
		content, complete, err = fill(larger, reader)
		if complete || err != nil || size >= most {
			return content, complete, err
		}
		size = min(bodyGrowth*size, most)
	}
	if len(content) > 0 {
		return content, false, nil // there is no memory for more: it is passed on
	}
	return fill(make([]byte, 0, smallBlockBytes), reader)
}

// fill reads into the room behind a slice, until that is full or the body ends.
func fill(content []byte, reader io.Reader) (filled []byte, complete bool, err error) {
	for len(content) < cap(content) {
		n, err := reader.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if err == io.EOF {
			return content, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return content, false, nil
}

// deliverBlocks delivers the rest of a body in blocks, one ahead of the caller at most.
func (x *exchange) deliverBlocks(reader io.Reader) error {
	for {
		if !x.awaitAhead(blockBytes) {
			return errAbandoned
		}
		size, counted := int64(blockBytes), int64(blockBytes)
		if x.account.take(size) != nil {
			size, counted = smallBlockBytes, 0
		}
		block := make([]byte, size)
		n, err := reader.Read(block)
		if n > 0 && !x.deliverAhead(Part{Kind: PartBlock, Bytes: block[:n], counted: counted}) {
			return errAbandoned
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
