package soak

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

// endlessForm is how a replica sends bytes without end.
type endlessForm string

// The forms. Each may follow any status.
const (
	endlessHeaderLine   endlessForm = "one header line"
	endlessHeaderLines  endlessForm = "many header lines"
	endlessInterim      endlessForm = "interim responses"
	endlessChunkSize    endlessForm = "junk for the size of a chunk"
	endlessChunk        endlessForm = "one chunk"
	endlessSmallChunks  endlessForm = "chunks of one byte"
	endlessExtensions   endlessForm = "chunk extensions"
	endlessTrailer      endlessForm = "a trailer"
	endlessLength       endlessForm = "a huge announced length"
	endlessNoLength     endlessForm = "a body without a length"
	endlessEventPieces  endlessForm = "pieces of an event"
	endlessEvents       endlessForm = "events"
	endlessEmptyEvents  endlessForm = "comments between events"
	endlessLargeAnswers endlessForm = "an answer of the largest length"
)

// endlessForms are all of them.
var endlessForms = []endlessForm{
	endlessHeaderLine, endlessHeaderLines, endlessInterim, endlessChunkSize, endlessChunk, endlessSmallChunks, endlessExtensions,
	endlessTrailer, endlessLength, endlessNoLength, endlessEventPieces, endlessEvents, endlessEmptyEvents, endlessLargeAnswers,
}

// soakForms are those that clients of a run can tell from answers and streams that are well.
var soakForms = slices.DeleteFunc(slices.Clone(endlessForms), func(form endlessForm) bool {
	return form == endlessEvents || form == endlessLargeAnswers
})

const (
	endlessBlockBytes  = 16 << 10
	endlessTime        = 20 * time.Second       // a replica stops after that, so that no run is without end
	tricklePause       = 20 * time.Millisecond  // between two pieces of a replica that trickles
	tricklePieceBytes  = 512                    // of such a piece
	trickleBodyBytes   = 96 << 10               // of a body are sent at once before it trickles
	endlessEventEvery  = 100                    // bytes of an event
	hugeAnnouncedBytes = int64(1) << 40         // far over what may be kept
	chunkOfAll         = "7fffffffffffffff\r\n" // the largest size of a chunk
)

// head is the status line and the header up to the form's own lines.
func (f endlessForm) head(status int, attemptID string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: seal\r\n", status, http.StatusText(status), upstream.HeaderAttemptID, attemptID, upstream.HeaderSeal)
	const chunked = "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
	const events = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	switch f {
	case endlessHeaderLine:
		return head + "Padding: "
	case endlessHeaderLines:
		return head
	case endlessInterim:
		return ""
	case endlessTrailer:
		return head + chunked + "0\r\nPadding: "
	case endlessChunk:
		return head + chunked + chunkOfAll
	case endlessExtensions:
		return head + chunked + "1;"
	case endlessLength:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", hugeAnnouncedBytes)
	case endlessLargeAnswers:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", upstream.MaxResponseBytes)
	case endlessNoLength:
		return head + "\r\n"
	case endlessEventPieces, endlessEvents, endlessEmptyEvents:
		return head + events
	}
	return head + chunked
}

// piece is what follows the head again and again, given a number.
func (f endlessForm) piece(number int) []byte {
	switch f {
	case endlessHeaderLines:
		return fmt.Appendf(nil, "Padding-%d: %s\r\n", number, strings.Repeat("x", 80))
	case endlessInterim:
		return []byte("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
	case endlessSmallChunks:
		return []byte("1\r\nx\r\n")
	case endlessEventPieces:
		return []byte("8\r\ndata: x\n\r\n")
	case endlessEmptyEvents:
		return []byte("3\r\n:x\n\r\n")
	case endlessEvents:
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat("t", endlessEventEvery))
		return fmt.Appendf(nil, "%x\r\n%s\r\n", len(event), event)
	}
	return []byte("xxxxxxxx")
}

// sendEndless takes over a request's connection and sends bytes of a form until the peer closes it. A trickling one sends little
// at a time.
func sendEndless(w http.ResponseWriter, form endlessForm, status int, attemptID string, trickle bool) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	end := time.Now().Add(endlessTime)
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

func sendFast(connection net.Conn, form endlessForm) {
	number := 1
	for sendPieces(connection, form, &number, endlessBlockBytes) {
	}
}

// sendPieces sends a number of bytes and a little more; number is that of the next piece. It returns false if the connection is closed.
func sendPieces(connection net.Conn, form endlessForm, number *int, size int) bool {
	block := bytes.Buffer{}
	for block.Len() < size {
		block.Write(form.piece(*number))
		*number++
	}
	_, err := connection.Write(block.Bytes())
	return err == nil
}

// endsInHead reports whether the form never comes to a body.
func (f endlessForm) endsInHead() bool {
	return f == endlessHeaderLine || f == endlessHeaderLines || f == endlessInterim
}

func sendTrickling(connection net.Conn, form endlessForm, closed <-chan struct{}) {
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
