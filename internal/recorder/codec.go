package recorder

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Format is the version of the record format that this program writes.
const Format = 1

// MaxBytes is the largest encoded record that is read or written.
const MaxBytes = 2 << 20

// Envelope is a record with its unique id, its author and the author's time.
type Envelope struct {
	id     identifier.RecordID
	author identifier.InstanceID
	wall   time.Time
	record Record
}

// NewEnvelope returns an Envelope; wall is kept to the millisecond and informs people only.
func NewEnvelope(id identifier.RecordID, author identifier.InstanceID, wall time.Time, record Record) Envelope {
	return Envelope{id: id, author: author, wall: wall.UTC().Truncate(time.Millisecond), record: record}
}

// ID returns the unique id of the record.
func (e Envelope) ID() identifier.RecordID { return e.id }

// Author returns the instance, or the operator's name, that appended the record.
func (e Envelope) Author() identifier.InstanceID { return e.author }

// Wall returns the author's wall clock time.
func (e Envelope) Wall() time.Time { return e.wall }

// Record returns the record itself.
func (e Envelope) Record() Record { return e.record }

// wireEnvelope is the JSON form of an Envelope.
type wireEnvelope struct {
	Format int                   `json:"format"`
	ID     identifier.RecordID   `json:"id"`
	Author identifier.InstanceID `json:"author"`
	WallMS int64                 `json:"wall_ms"`
	Kind   kind                  `json:"kind"`
	Body   json.RawMessage       `json:"body"`
}

// ErrMalformed reports a record that this program can't read.
type ErrMalformed struct {
	reason string
}

// Error implements error.
func (e ErrMalformed) Error() string { return "malformed record: " + e.reason }

// IsErrMalformed reports whether err is an ErrMalformed.
func IsErrMalformed(err error) bool {
	var malformed ErrMalformed
	return errors.As(err, &malformed)
}

// Encode returns the bytes of e for the log. It fails when they exceed MaxBytes.
func Encode(e Envelope) ([]byte, error) {
	body, err := json.Marshal(e.record)
	if err != nil {
		return nil, errors.Wrap(err, "encode record body")
	}
	wire := wireEnvelope{
		Format: Format,
		ID:     e.id,
		Author: e.author,
		WallMS: e.wall.UnixMilli(),
		Kind:   e.record.kind(),
		Body:   body,
	}
	data, err := json.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(data) > MaxBytes {
		return nil, ErrMalformed{reason: "longer than the largest record"}
	}
	return data, nil
}

// Decode reads an Envelope from the log's bytes. The error is an ErrMalformed.
func Decode(data []byte) (Envelope, error) {
	if len(data) > MaxBytes {
		return Envelope{}, ErrMalformed{reason: "longer than the largest record"}
	}
	var wire wireEnvelope
	if err := strictUnmarshal(data, &wire); err != nil {
		return Envelope{}, ErrMalformed{reason: err.Error()}
	}
	if wire.Format != Format {
		return Envelope{}, ErrMalformed{reason: "unknown format"}
	}
	if wire.ID == "" || wire.Author == "" {
		return Envelope{}, ErrMalformed{reason: "no id or no author"}
	}
	record, err := decodeBody(wire.Kind, wire.Body)
	if err != nil {
		return Envelope{}, err
	}
	return NewEnvelope(wire.ID, wire.Author, time.UnixMilli(wire.WallMS), record), nil
}

func decodeBody(k kind, body json.RawMessage) (Record, error) {
	switch k {
	case kindPublishBundle:
		return decodeAs[PublishBundle](body)
	case kindJoin:
		return decodeAs[Join](body)
	case kindLeave:
		return decodeAs[Leave](body)
	case kindExpel:
		return decodeAs[Expel](body)
	case kindRelease:
		return decodeAs[Release](body)
	case kindSetWitnesses:
		return decodeAs[SetWitnesses](body)
	case kindClaimFronts:
		return decodeAs[ClaimFronts](body)
	case kindHandFronts:
		return decodeAs[HandFronts](body)
	case kindAssign:
		return decodeAs[Assign](body)
	case kindReassign:
		return decodeAs[Reassign](body)
	case kindMeetServer:
		return decodeAs[MeetServer](body)
	case kindPin:
		return decodeAs[Pin](body)
	case kindUnpin:
		return decodeAs[Unpin](body)
	case kindSnapshot:
		return decodeAs[Snapshot](body)
	default:
		return nil, ErrMalformed{reason: "unknown kind " + string(k)}
	}
}

func decodeAs[T Record](body json.RawMessage) (Record, error) {
	var record T
	if err := strictUnmarshal(body, &record); err != nil {
		return nil, ErrMalformed{reason: err.Error()}
	}
	return record, nil
}

func strictUnmarshal(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("data after the record")
	}
	return nil
}
