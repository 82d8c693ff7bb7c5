package state

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"shaletrestle/coord/distribution"
	"shaletrestle/internal/config"
	"shaletrestle/internal/state/statepb"
)

// Names of the parts in which followers get a view. They are fixed: processes of different versions compare them.
const (
	configurationPart = "configuration"
	controllersPart   = "controllers"
	evacuationsPart   = "evacuations"
	fleetPart         = "fleet"
	listingPart       = "listing"
	replicasPrefix    = "replicas/" // before the zone: the replicas of each zone are a part
)

// Parts gives the newest view in parts, without its history. Equal views give equal parts.
func (s *Store) Parts() []distribution.Part { return s.view.Load().parts() }

// RestoreParts is Restore for the parts that [Store.Parts] of another store gave. Parts that can't be read or that this
// version doesn't know change nothing; the error is a [PartError] or that of the configuration's check.
func (s *Store) RestoreParts(parts []distribution.Part) error {
	view, err := viewOfParts(parts, s.view.Load().Config)
	if err != nil {
		return err
	}
	s.replace(view)
	return nil
}

func (v *View) parts() []distribution.Part {
	configuration := &statepb.Configuration{}
	if v.Config.Revision > 0 {
		configuration.Document = v.Config.JSON()
	}
	controllers := &statepb.Controllers{}
	for _, controller := range v.Controllers {
		controllers.Controllers = append(controllers.Controllers, &statepb.Controller{Address: validText(controller.Address), Zone: validText(controller.Zone)})
	}
	fleet := &statepb.Fleet{Size: int64(v.FleetSize)}
	for _, node := range v.Nodes {
		fleet.Nodes = append(fleet.Nodes, validText(node))
	}
	parts := []distribution.Part{
		encodePart(configurationPart, configuration),
		encodePart(controllersPart, controllers),
		encodePart(evacuationsPart, &statepb.Evacuations{Zones: slices.Sorted(maps.Keys(v.Evacuated))}),
		encodePart(fleetPart, fleet),
		encodePart(listingPart, &statepb.Listing{Known: v.ReplicasKnown}),
	}
	for zone, replicas := range replicasByZone(maps.Values(v.Replicas)) {
		parts = append(parts, encodePart(replicasPrefix+zone, encodeZone(replicas)))
	}
	slices.SortFunc(parts, func(a, b distribution.Part) int { return cmp.Compare(a.Name, b.Name) })
	return parts
}

// validText is text as JSON would give it: what other processes say of themselves may be anything, all else was read from
// JSON.
func validText(text string) string { return strings.ToValidUTF8(text, string(utf8.RuneError)) }

func encodePart(name string, message proto.Message) distribution.Part {
	content, _ := proto.MarshalOptions{Deterministic: true}.Marshal(message) // fails only for text that is no UTF-8
	return distribution.Part{Name: name, Content: content}
}

// viewOfParts makes the view that its parts describe. A configuration that equals the one given is that one: what was
// compiled from it stays valid.
func viewOfParts(parts []distribution.Part, known *config.Document) (*View, error) {
	view := EmptyView()
	view.Config = known
	seen := map[string]bool{}
	for _, part := range parts {
		if err := view.readPart(part); err != nil {
			return nil, err
		}
		seen[part.Name] = true
	}
	for _, name := range []string{configurationPart, controllersPart, evacuationsPart, fleetPart, listingPart} {
		if !seen[name] {
			return nil, &PartError{Part: name, Err: ErrMissingPart}
		}
	}
	return view, nil
}

// readPart reads one part into a view that is being made.
func (v *View) readPart(part distribution.Part) error {
	if zone, ok := strings.CutPrefix(part.Name, replicasPrefix); ok {
		return v.readReplicas(part, zone)
	}
	switch part.Name {
	case configurationPart:
		return v.readConfiguration(part)
	case controllersPart:
		var read statepb.Controllers
		if err := decodePart(part, &read); err != nil {
			return err
		}
		for _, controller := range read.Controllers {
			v.Controllers = append(v.Controllers, Controller{Address: controller.Address, Zone: controller.Zone})
		}
	case evacuationsPart:
		var read statepb.Evacuations
		if err := decodePart(part, &read); err != nil {
			return err
		}
		for _, zone := range read.Zones {
			v.Evacuated[zone] = true
		}
	case fleetPart:
		var read statepb.Fleet
		if err := decodePart(part, &read); err != nil {
			return err
		}
		v.FleetSize, v.Nodes = int(read.Size), read.Nodes
	case listingPart:
		var read statepb.Listing
		if err := decodePart(part, &read); err != nil {
			return err
		}
		v.ReplicasKnown = read.Known
	default:
		return &PartError{Part: part.Name, Err: ErrUnknownPart}
	}
	return nil
}

func decodePart(part distribution.Part, into proto.Message) error {
	if err := proto.Unmarshal(part.Content, into); err != nil {
		return &PartError{Part: part.Name, Err: err}
	}
	return nil
}

func (v *View) readConfiguration(part distribution.Part) error {
	var read statepb.Configuration
	if err := decodePart(part, &read); err != nil {
		return err
	}
	if len(read.Document) == 0 {
		v.Config = config.Empty()
		return nil
	}
	if bytes.Equal(read.Document, v.Config.JSON()) {
		return nil
	}
	document, err := config.Stored(read.Document)
	if err != nil {
		return &PartError{Part: part.Name, Err: err}
	}
	v.Config = document
	return nil
}

func (v *View) readReplicas(part distribution.Part, zone string) error {
	var read statepb.Replicas
	if err := decodePart(part, &read); err != nil {
		return err
	}
	replicas, err := replicasOf(&read, zone)
	if err != nil {
		return &PartError{Part: part.Name, Err: err}
	}
	for _, replica := range replicas {
		v.Replicas[replica.ID] = replica
	}
	return nil
}
