package state

import (
	"encoding/json"
	"fmt"
)

// eventJSON is the stored form of all events. Each kind uses some of the fields; the keys stay as they are.
type eventJSON struct {
	Kind        Kind            `json:"k"`
	Base        int64           `json:"base,omitempty"`
	Body        json.RawMessage `json:"body,omitempty"`
	Zone        string          `json:"loc,omitempty"`
	Replicas    []*Replica      `json:"rep,omitempty"`
	Removed     []string        `json:"gone,omitempty"`
	Size        int             `json:"size,omitempty"`
	Nodes       []string        `json:"nodes,omitempty"`
	Incremental bool            `json:"delta,omitempty"`
	Controllers []Controller    `json:"houses,omitempty"`
	Suspects    []string        `json:"sus,omitempty"`
	Digest      []byte          `json:"digest,omitempty"`
}

// EncodeEvent gives an event's stored bytes; nil if it carries a body that is no JSON, which [View.Next] rejects too.
func EncodeEvent(e Event) []byte {
	encoded, _ := json.Marshal(e.fields())
	return encoded
}

// DecodeEvent reads what EncodeEvent gave, of this version or an earlier one. It fails with a JSON error or with an
// [UnknownKindError].
func DecodeEvent(encoded []byte) (Event, error) {
	var fields eventJSON
	if err := json.Unmarshal(encoded, &fields); err != nil {
		return nil, fmt.Errorf("event: %w", err)
	}
	return fields.event()
}

func (f eventJSON) event() (Event, error) {
	switch f.Kind {
	case kindPutConfig:
		return PutConfig{f.configChange()}, nil
	case kindPatchConfig:
		return PatchConfig{f.configChange()}, nil
	case kindEvacuateZone:
		return EvacuateZone{Zone: f.Zone}, nil
	case kindReadmitZone:
		return ReadmitZone{Zone: f.Zone}, nil
	case kindUpdateReplicas:
		return UpdateReplicas{Changed: f.Replicas, Removed: f.Removed}, nil
	case kindUpdateFleet:
		return UpdateFleet{Size: f.Size, Nodes: f.Nodes, Removed: f.Removed, Incremental: f.Incremental}, nil
	case kindUpdateControllers:
		return UpdateControllers{Controllers: f.Controllers}, nil
	case kindUpdateSuspects:
		return UpdateSuspects{Replicas: f.Suspects}, nil
	}
	return nil, &UnknownKindError{Kind: f.Kind}
}

func (f eventJSON) configChange() ConfigChange {
	return ConfigChange{Base: f.Base, Body: f.Body, Digest: f.Digest}
}
