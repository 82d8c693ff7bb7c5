package state

import (
	"encoding/json"
	"fmt"

	"shaletrestle/internal/config"
)

// viewJSON is the stored form of a view: of snapshots on disk and in updates, and of the state page /fleet. The keys
// stay as they are.
type viewJSON struct {
	Config        json.RawMessage `json:"doc,omitempty"`
	History       *History        `json:"orders,omitempty"`
	Evacuated     []string        `json:"evac,omitempty"` // in any order
	Replicas      []*Replica      `json:"rep,omitempty"`  // in any order
	ReplicasKnown bool            `json:"listed,omitempty"`
	FleetSize     int             `json:"fleet,omitempty"`
	Nodes         []string        `json:"nodes,omitempty"`
	Controllers   []Controller    `json:"houses,omitempty"`
}

// Encode gives a view's stored bytes.
func (v *View) Encode() []byte {
	stored := viewJSON{
		History:       v.History,
		ReplicasKnown: v.ReplicasKnown,
		FleetSize:     v.FleetSize,
		Nodes:         v.Nodes,
		Controllers:   v.Controllers,
	}
	if v.Config.Revision > 0 {
		stored.Config = v.Config.JSON()
	}
	for zone := range v.Evacuated {
		stored.Evacuated = append(stored.Evacuated, zone)
	}
	for _, replica := range v.Replicas {
		stored.Replicas = append(stored.Replicas, replica)
	}
	encoded, _ := json.Marshal(stored)
	return encoded
}

// DecodeView reads what [View.Encode] gave, of this version or an earlier one. It fails with a JSON error, with
// [ErrHistoryTruncated] or [ErrHistoryUnordered], or with a [config.InvalidError].
func DecodeView(encoded []byte) (*View, error) {
	var stored viewJSON
	if err := json.Unmarshal(encoded, &stored); err != nil {
		return nil, fmt.Errorf("view: %w", err)
	}
	view := EmptyView()
	if stored.Config != nil {
		document, err := config.Stored(stored.Config)
		if err != nil {
			return nil, err
		}
		view.Config = document
	}
	for _, zone := range stored.Evacuated {
		view.Evacuated[zone] = true
	}
	for _, replica := range stored.Replicas {
		view.Replicas[replica.ID] = replica
	}
	view.History = stored.History
	view.ReplicasKnown = stored.ReplicasKnown
	view.FleetSize = stored.FleetSize
	view.Nodes = stored.Nodes
	view.Controllers = stored.Controllers
	return view, nil
}
