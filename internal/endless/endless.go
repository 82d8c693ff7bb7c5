// Package endless sends what a faulty replica sends when its responses have no end: bytes in one of several forms, behind any status,
// fast or trickling, until the peer closes the connection. It is for the stand-ins of tests and experiments.
package endless

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"shaletrestle/internal/upstream"
)

// Form is how a replica sends bytes without end.
type Form string

// The forms. Each may follow any status.
const (
	HeaderLine   Form = "one header line"
	HeaderLines  Form = "many header lines"
	Interim      Form = "interim responses"
	ChunkSize    Form = "junk for the size of a chunk"
	Chunk        Form = "one chunk"
	SmallChunks  Form = "chunks of one byte"
	Extensions   Form = "chunk extensions"
	Trailer      Form = "a trailer"
	Length       Form = "a huge announced length"
	NoLength     Form = "a body without a length"
	EventPieces  Form = "pieces of an event"
	Events       Form = "events"
	EmptyEvents  Form = "comments between events"
	LargeAnswers Form = "an answer of the largest length"
)

// Forms are all of them.
var Forms = []Form{
	HeaderLine, HeaderLines, Interim, ChunkSize, Chunk, SmallChunks, Extensions,
	Trailer, Length, NoLength, EventPieces, Events, EmptyEvents, LargeAnswers,
}

// IncompleteForms are those of which nothing ends as a complete response and nothing comes as an event: a client can tell them from
// responses that are well.
var IncompleteForms = slices.DeleteFunc(slices.Clone(Forms), func(form Form) bool {
	return form == Events || form == LargeAnswers
})

const (
	blockBytes         = 16 << 10
	longestTime        = 20 * time.Second       // a replica stops after that, so that no run is without end
	tricklePause       = 20 * time.Millisecond  // between two pieces of a replica that trickles
	tricklePieceBytes  = 512                    // of such a piece
	trickleBodyBytes   = 96 << 10               // of a body are sent at once before it trickles
	eventBytes         = 100                    // bytes of an event
	hugeAnnouncedBytes = int64(1) << 40         // far over what may be kept
	chunkOfAll         = "7fffffffffffffff\r\n" // the largest size of a chunk
)

// head is the status line and the header up to the form's own lines.
func (f Form) head(status int, attemptID string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: seal\r\n", status, http.StatusText(status), upstream.HeaderAttemptID, attemptID, upstream.HeaderSeal)
	const chunked = "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
	const events = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	switch f {
	case HeaderLine:
		return head + "Padding: "
	case HeaderLines:
		return head
	case Interim:
		return ""
	case Trailer:
		return head + chunked + "0\r\nPadding: "
	case Chunk:
		return head + chunked + chunkOfAll
	case Extensions:
		return head + chunked + "1;"
	case Length:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", hugeAnnouncedBytes)
	case LargeAnswers:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", upstream.MaxResponseBytes)
	case NoLength:
		return head + "\r\n"
	case EventPieces, Events, EmptyEvents:
		return head + events
	}
	return head + chunked
}

// piece is what follows the head again and again, given a number.
func (f Form) piece(number int) []byte {
	switch f {
	case HeaderLines:
		return fmt.Appendf(nil, "Padding-%d: %s\r\n", number, strings.Repeat("x", 80))
	case Interim:
		return []byte("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
	case SmallChunks:
		return []byte("1\r\nx\r\n")
	case EventPieces:
		return []byte("8\r\ndata: x\n\r\n")
	case EmptyEvents:
		return []byte("3\r\n:x\n\r\n")
	case Events:
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat("t", eventBytes))
		return fmt.Appendf(nil, "%x\r\n%s\r\n", len(event), event)
	}
	return []byte("xxxxxxxx")
}

// Send takes over a request's connection and sends bytes of a form until the peer closes it. A trickling one sends little
// at a time.
func Send(w http.ResponseWriter, form Form, status int, attemptID string, trickle bool) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	end := time.Now().Add(longestTime)
	_ = connection.SetDeadline(end)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = bufio.NewReader(connection).ReadByte() // nothing more is sent on it: it returns when the peer closes
	}()
	if _, err := connection.Write([]byte(form.head(status, attemptID))); err != nil {
		return
	}
	if trickle {
		sendTrickling(connection, form, closed)
		return
	}
	sendFast(connection, form)
}

func sendFast(connection net.Conn, form Form) {
	number := 1
	for sendPieces(connection, form, &number, blockBytes) {
	}
}

// sendPieces sends a number of bytes and a little more; number is that of the next piece. It returns false if the connection is closed.
func sendPieces(connection net.Conn, form Form, number *int, size int) bool {
	block := bytes.Buffer{}
	for block.Len() < size {
		block.Write(form.piece(*number))
		*number++
	}
	_, err := connection.Write(block.Bytes())
	return err == nil
}

// endsInHead reports whether the form never comes to a body.
func (f Form) endsInHead() bool {
	return f == HeaderLine || f == HeaderLines || f == Interim
}

func sendTrickling(connection net.Conn, form Form, closed <-chan struct{}) {
	number := 1
	if !form.endsInHead() {
		if !sendPieces(connection, form, &number, trickleBodyBytes) {
			return
		}
	}
	pause := time.NewTicker(tricklePause)
	defer pause.Stop()
	for {
		select {
		case <-pause.C:
		case <-closed:
			return
		}
		if !sendPieces(connection, form, &number, tricklePieceBytes) {
			return
		}
	}
}
