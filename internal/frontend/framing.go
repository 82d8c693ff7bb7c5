package frontend

import (
	"bytes"
	"strconv"
	"strings"
)

// framingState is where in a message the next byte belongs.
type framingState uint8

const (
	inStartLine framingState = iota
	inHeader
	inFixedBody
	inChunkSize
	inChunkData
	inChunkEnd // the line end behind a chunk's data
	inTrailer
	messageComplete
	unknownFraming // the bytes are no message as known here: net/http decides alone
)

const (
	// linePrefixLimit is how much of a line is looked at: the names and values that delimit a body are shorter.
	linePrefixLimit = 128
	// maxChunkDigits bounds the digits of a chunk's size: more would not fit into an int64.
	maxChunkDigits = 15
)

// What delimits a body.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunkedCoding    = []byte("chunked")
	http11           = []byte("HTTP/1.1")
)

// framing follows the bytes of the requests on one connection and finds where each ends, so that nothing of the next request
// is handed out before the present one is served. It decides on nothing else: what a request means is read by net/http
// from the same bytes. Its zero value is before the first byte of a request.
type framing struct {
	state     framingState
	line      []byte // the part of the present line that is looked at
	isHTTP11  bool   // net/http ignores chunks in others
	lineBytes int64  // of that line, with those that are not kept
	headBytes int64  // of the head as far as it came; with a framing that is not known, all bytes since the message began
	left      int64  // bytes of the fixed body or chunk that are still to come
	length    int64  // named by Content-Length
	hasLength bool
	chunked   bool
}

// reset begins the next message.
func (f *framing) reset() { *f = framing{line: f.line[:0]} }

// ambiguous reports whether the body could be delimited in two ways, by its chunks and by a length, or is delimited in a way
// that is not known here.
func (f *framing) ambiguous() bool { return f.hasLength && f.chunked || f.state == unknownFraming }

// inHead reports whether a head has begun and not ended.
func (f *framing) inHead() bool {
	return f.headBytes > 0 && (f.state == inStartLine || f.state == inHeader)
}

// advance takes the next bytes of a connection and returns how many of them belong to the present message. Fewer than were
// given are taken only if the message is complete with them.
func (f *framing) advance(data []byte) (taken int) {
	for taken < len(data) && f.state != messageComplete {
		rest := data[taken:]
		switch f.state {
		case unknownFraming:
			f.headBytes += int64(len(rest))
			return len(data)
		case inStartLine, inHeader:
			n := f.takeLine(rest)
			f.headBytes += int64(n)
			taken += n
		case inFixedBody, inChunkData:
			n := min(f.left, int64(len(rest)))
			f.left -= n
			taken += int(n)
			f.endData()
		default:
			taken += f.takeLine(rest)
		}
	}
	return taken
}

// endData goes on behind a body or a chunk of which nothing is left to come.
func (f *framing) endData() {
	switch {
	case f.left > 0:
	case f.state == inFixedBody:
		f.state = messageComplete
	default:
		f.state = inChunkEnd
	}
}

// takeLine takes bytes up to the end of the present line.
func (f *framing) takeLine(data []byte) (taken int) {
	end := bytes.IndexByte(data, '\n')
	taken = end + 1
	if end < 0 {
		taken = len(data)
	}
	f.keepPart(data[:taken])
	f.lineBytes += int64(taken)
	if end >= 0 {
		line, cut := f.line, f.lineBytes > int64(len(f.line))
		f.endLine(bytes.TrimRight(line, "\r\n"), cut)
		f.line, f.lineBytes = f.line[:0], 0
	}
	return taken
}

// keepPart keeps what is looked at of the present line: its beginning, or of a start line its end.
func (f *framing) keepPart(data []byte) {
	if f.state == inStartLine {
		f.line = append(f.line, data[max(0, len(data)-linePrefixLimit):]...)
		f.line = f.line[max(0, len(f.line)-linePrefixLimit):]
		return
	}
	f.line = append(f.line, data[:min(linePrefixLimit-len(f.line), len(data))]...)
}

// endLine takes a line; cut says that it is longer than the part that was kept.
func (f *framing) endLine(line []byte, cut bool) {
	switch f.state {
	case inStartLine:
		if len(line) > 0 { // empty ones are passed over, as net/http does behind some requests
			f.state = inHeader
			f.isHTTP11 = bytes.HasSuffix(line, http11)
		}
	case inHeader:
		f.endHeaderLine(line, cut)
	case inChunkSize:
		f.endChunkSize(line, cut)
	case inChunkEnd:
		f.state = inChunkSize
		if len(line) > 0 {
			f.state = unknownFraming
		}
	case inTrailer:
		if len(line) == 0 {
			f.state = messageComplete
		}
	}
}

// endHeaderLine takes a line of the header, or its end.
func (f *framing) endHeaderLine(line []byte, cut bool) {
	if len(line) == 0 {
		f.beginBody()
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	name, value = bytes.TrimSpace(name), bytes.TrimSpace(value)
	isLength, isEncoding := bytes.EqualFold(name, contentLength), bytes.EqualFold(name, transferEncoding)
	folded := line[0] == ' ' || line[0] == '\t' // it goes on with the value of the line before
	switch {
	case (isLength || isEncoding) && (cut || folded):
		f.state = unknownFraming
	case isLength:
		f.takeLength(string(value))
	case isEncoding && (f.chunked || !f.isHTTP11 || !bytes.EqualFold(value, chunkedCoding)):
		f.state = unknownFraming
	case isEncoding:
		f.chunked = true
	}
}

// takeLength takes the value of Content-Length. It may stand twice, with the same value.
func (f *framing) takeLength(value string) {
	length, err := strconv.ParseInt(value, 10, 64)
	if err != nil || length < 0 || f.hasLength && length != f.length {
		f.state = unknownFraming
		return
	}
	f.hasLength, f.length = true, length
}

// beginBody goes on behind the header. Chunks come before a length, as in net/http.
func (f *framing) beginBody() {
	switch {
	case f.chunked:
		f.state = inChunkSize
	case f.length > 0:
		f.state, f.left = inFixedBody, f.length
	default:
		f.state = messageComplete
	}
}

// endChunkSize takes the line with the size of a chunk, in hexadecimal digits, and perhaps extensions.
func (f *framing) endChunkSize(line []byte, cut bool) {
	digits, _, _ := strings.Cut(string(line), ";")
	digits = strings.TrimRight(digits, " \t")
	size, err := strconv.ParseInt(digits, 16, 64)
	switch {
	case err != nil || size < 0 || cut || len(digits) > maxChunkDigits:
		f.state = unknownFraming
	case size == 0:
		f.state = inTrailer
	default:
		f.state, f.left = inChunkData, size
	}
}
