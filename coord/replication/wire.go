package replication

import (
	"github.com/cockroachdb/errors"
	flatbuffers "github.com/google/flatbuffers/go"

	"shaletrestle/coord/replication/core"
	fb "shaletrestle/coord/replication/replicationfb"
)

// messageOverheadBytes is what most messages take besides their data; a buffer of that size is seldom grown.
const messageOverheadBytes = 512

// minMessageBytes is the size below which bytes can't be a table.
const minMessageBytes = 8

// encodeMessage returns the bytes of a message.
func encodeMessage(message core.Message) []byte {
	envelope := message.Route()
	builder := flatbuffers.NewBuilder(messageOverheadBytes + dataBytes(message))
	table := fb.MessageT{
		From:      encodeMember(envelope.From),
		To:        uint64(envelope.To),
		ToAddress: envelope.ToAddress,
		Body:      encodeBody(message),
	}
	builder.Finish(table.Pack(builder))
	return builder.FinishedBytes()
}

func dataBytes(message core.Message) int {
	switch m := message.(type) {
	case core.SnapshotChunk:
		return len(m.Data)
	case core.Append:
		return len(m.Entry.Data)
	}
	return 0
}

func encodeBody(message core.Message) *fb.BodyT {
	if body := encodeRequest(message); body != nil {
		return body
	}
	return encodeReply(message)
}

// decodeMessage reads a message. Bytes that are none give an error that is ErrInvalidMessage, never a panic. The data of the result shares the bytes given.
func decodeMessage(data []byte) (message core.Message, err error) {
	defer func() {
		if r := recover(); r != nil { // the generated code trusts the offsets that it reads
			message = nil
			err = errors.Wrapf(ErrInvalidMessage, "%v", r)
		}
	}()
	if len(data) < minMessageBytes {
		return nil, errors.Wrapf(ErrInvalidMessage, "%d bytes", len(data))
	}
	table := fb.GetRootAsMessage(data, 0)
	var body flatbuffers.Table
	if !table.Body(&body) {
		return nil, errors.Wrap(ErrInvalidMessage, "no body")
	}
	decode := bodyDecoders[table.BodyType()]
	if decode == nil {
		return nil, errors.Wrapf(ErrInvalidMessage, "unknown body of type %d", table.BodyType())
	}
	var d decoder
	message = decode(&d, body, core.Envelope{
		From:      d.member(table.From(nil)),
		To:        core.MemberID(table.To()),
		ToAddress: d.text(table.ToAddress()),
	})
	if d.invalid {
		return nil, errors.Wrapf(ErrInvalidMessage, "body of type %d", table.BodyType())
	}
	return message, nil
}

// bodyDecoder reads the body of a message of one type.
type bodyDecoder func(d *decoder, body flatbuffers.Table, envelope core.Envelope) core.Message

var bodyDecoders = map[fb.Body]bodyDecoder{
	fb.BodyHello:             bodyOf(decodeHello),
	fb.BodyHelloReply:        bodyOf(decodeHelloReply),
	fb.BodyHeartbeat:         bodyOf(decodeHeartbeat),
	fb.BodyHeartbeatReply:    bodyOf(decodeHeartbeatReply),
	fb.BodyPrepare:           bodyOf(decodePrepare),
	fb.BodyPrepareReply:      bodyOf(decodePrepareReply),
	fb.BodyAccept:            bodyOf(decodeAccept),
	fb.BodyAcceptReply:       bodyOf(decodeAcceptReply),
	fb.BodyInstall:           bodyOf(decodeInstall),
	fb.BodyInstallReply:      bodyOf(decodeInstallReply),
	fb.BodySnapshotPart:      bodyOf(decodeSnapshotChunk),
	fb.BodySnapshotPartReply: bodyOf(decodeSnapshotChunkReply),
	fb.BodyAppend:            bodyOf(decodeAppend),
	fb.BodyAppendReply:       bodyOf(decodeAppendReply),
	fb.BodyConfirm:           bodyOf(decodeConfirm),
	fb.BodyConfirmReply:      bodyOf(decodeConfirmReply),
	fb.BodyYield:             bodyOf(decodeYield),
	fb.BodyYieldReply:        bodyOf(decodeYieldReply),
	fb.BodyLeaveRequest:      bodyOf(decodeLeaveRequest),
	fb.BodyLeaveRequestReply: bodyOf(decodeLeaveRequestReply),
}

// tableOf is a pointer to a generated table.
type tableOf[T any] interface {
	*T
	Init(buffer []byte, offset flatbuffers.UOffsetT)
}

// bodyOf makes the decoder of a body out of one that reads the body's table.
func bodyOf[T any, P tableOf[T]](decode func(d *decoder, table P, envelope core.Envelope) core.Message) bodyDecoder {
	return func(d *decoder, body flatbuffers.Table, envelope core.Envelope) core.Message {
		table := P(new(T))
		table.Init(body.Bytes, body.Pos)
		return decode(d, table, envelope)
	}
}
