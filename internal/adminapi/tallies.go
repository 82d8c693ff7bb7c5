package adminapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"shaletrestle/coord/counter"
	"shaletrestle/internal/errkind"
	"shaletrestle/internal/httpreply"
)

// maxTallyBodyBytes bounds the body of an addition.
const maxTallyBodyBytes = 4 << 10

// TallyState is the tallies as applications see them. An error carries a kind of package errkind: Unavailable promises
// that nothing was done and nothing will be; DeadlineExceeded says that the addition may count.
type TallyState interface {
	// AddToTally makes one addition. Its id counts once, wherever it is repeated.
	AddToTally(addition counter.Addition) (TallyAnswer, error)
	// Tally gives the total of a tally, 0 for one that was not added to.
	Tally(name string) (TallyAnswer, error)
}

// TallyAnswer is the answer to a call without an error.
type TallyAnswer struct {
	Total    uint64 // of a read
	Redirect string // the control address of another member to ask instead; empty: none
}

// Answers to additions that can't be read.
var (
	errTallyName   = errkind.New(errkind.InvalidInput, "a tally's name has 1 to 128 bytes")
	errTallyBody   = errkind.New(errkind.InvalidInput, "the body must be a JSON object with replica_id and actor")
	errTallyID     = errkind.New(errkind.InvalidInput, "replica_id must be a text of 1 to 128 bytes")
	errTallyAmount = errkind.New(errkind.InvalidInput, "actor must be a whole number from 0 to 2^42")
)

// tallyBody is the body of an addition. The fields are kept as they are written: 4 and "4" differ.
type tallyBody struct {
	ID     json.RawMessage `json:"replica_id"`
	Amount json.RawMessage `json:"actor"`
}

// answerTally answers a call on a tally.
func (s *server) answerTally(c *call, segment string) {
	name, err := url.PathUnescape(segment)
	if err != nil || name == "" || len(name) > counter.MaxNameBytes {
		httpreply.Error(c.writer, errTallyName)
		return
	}
	if c.request.Method == http.MethodGet {
		s.replyTally(c, func() (TallyAnswer, error) { return s.tallies.Tally(name) })
		return
	}
	addition, err := readAddition(c, name)
	if err != nil {
		httpreply.Error(c.writer, err)
		return
	}
	s.replyTally(c, func() (TallyAnswer, error) { return s.tallies.AddToTally(addition) })
}

func (s *server) replyTally(c *call, ask func() (TallyAnswer, error)) {
	answer, err := ask()
	switch {
	case err != nil:
		httpreply.Error(c.writer, err)
	case answer.Redirect != "":
		redirect(c, answer.Redirect)
	case c.request.Method == http.MethodGet:
		httpreply.JSON(c.writer, http.StatusOK, map[string]uint64{"total": answer.Total})
	default:
		httpreply.JSON(c.writer, http.StatusOK, map[string]bool{"ok": true})
	}
}

// readAddition reads the body of an addition to a tally.
func readAddition(c *call, name string) (counter.Addition, error) {
	c.boundBody()
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, maxTallyBodyBytes))
	if err != nil {
		return counter.Addition{}, errkind.Wrap(errkind.OfBody(err), err, "body can't be read whole")
	}
	var fields tallyBody
	if err := json.Unmarshal(body, &fields); err != nil {
		return counter.Addition{}, errTallyBody
	}
	var id string
	if err := json.Unmarshal(fields.ID, &id); err != nil || id == "" || len(id) > counter.MaxNameBytes {
		return counter.Addition{}, errTallyID
	}
	amount, err := strconv.ParseUint(string(bytes.TrimSpace(fields.Amount)), 10, 64)
	if err != nil || amount > counter.MaxAmount {
		return counter.Addition{}, errTallyAmount
	}
	return counter.Addition{Counter: name, ID: id, Amount: amount}, nil
}
