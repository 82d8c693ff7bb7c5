package state

import (
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"iter"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"shaletrestle/internal/state/statepb"
)

// ErrInvalidList says that bytes are no list of replicas, or that an entry has no id, address or service.
var ErrInvalidList = errors.New("invalid list of replicas")

// EncodeReplicas gives a listing of the platform in few bytes. Equal listings give equal bytes, whatever their order.
func EncodeReplicas(replicas []*Replica) []byte {
	list := &statepb.ReplicaList{}
	zones := replicasByZone(slices.Values(replicas))
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		list.Zones = append(list.Zones, &statepb.ZoneReplicas{Zone: zone, Replicas: encodeZone(zones[zone])})
	}
	encoded, _ := proto.MarshalOptions{Deterministic: true}.Marshal(list) // fails only for text that is no UTF-8, which JSON never gives
	return encoded
}

// DecodeReplicas reads what EncodeReplicas gave. The error is ErrInvalidList.
func DecodeReplicas(encoded []byte) ([]*Replica, error) {
	var list statepb.ReplicaList
	if err := proto.Unmarshal(encoded, &list); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidList, err)
	}
	var replicas []*Replica
	for _, zone := range list.Zones {
		inZone, err := replicasOf(zone.Replicas, zone.Zone)
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, inZone...)
	}
	return replicas, nil
}

// ReplicasDigest identifies a listing, as far as [Replica.Equal] tells its entries apart.
func ReplicasDigest(replicas []*Replica) [sha256.Size]byte {
	same := make([]*Replica, len(replicas))
	for i, replica := range replicas {
		same[i] = replica
		if replica.WarmupLeftMs > 0 {
			warming := *replica
			warming.WarmupLeftMs = 1
			same[i] = &warming
		}
	}
	return sha256.Sum256(EncodeReplicas(same))
}

func replicasByZone(replicas iter.Seq[*Replica]) map[string][]*Replica {
	byZone := map[string][]*Replica{}
	for replica := range replicas {
		byZone[replica.Zone] = append(byZone[replica.Zone], replica)
	}
	return byZone
}

// encodeZone sorts the replicas of one zone and puts neighbours that differ only in id and address into one group.
func encodeZone(replicas []*Replica) *statepb.Replicas {
	slices.SortFunc(replicas, func(a, b *Replica) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.State, b.State), cmp.Compare(a.ID, b.ID))
	})
	var groups []*statepb.ReplicaGroup
	for i, replica := range replicas {
		if i == 0 || !sameGroup(replica, replicas[i-1]) {
			groups = append(groups, newGroup(replica))
		}
		group := groups[len(groups)-1]
		group.Ids = append(group.Ids, replica.ID)
		group.Addresses = append(group.Addresses, replica.Address)
	}
	return &statepb.Replicas{Groups: groups}
}

func sameGroup(a, b *Replica) bool {
	sameWork := a.Pool == b.Pool && a.SoftwareRevision == b.SoftwareRevision && a.Slots == b.Slots && a.Stage == b.Stage
	sameState := a.State == b.State && a.WarmupLeftMs == b.WarmupLeftMs
	return sameWork && sameState && slices.Equal(a.Models, b.Models)
}

func newGroup(replica *Replica) *statepb.ReplicaGroup {
	group := &statepb.ReplicaGroup{
		Service:          replica.Pool,
		SoftwareRevision: replica.SoftwareRevision,
		Slots:            int64(replica.Slots),
		State:            replica.State,
		WarmupLeftMs:     replica.WarmupLeftMs,
		Stage:            replica.Stage,
	}
	for _, model := range replica.Models {
		group.Models = append(group.Models, &statepb.Model{Name: model.Name, Revision: model.Revision})
	}
	return group
}

// replicasOf reads the replicas of one zone. The error is ErrInvalidList.
func replicasOf(read *statepb.Replicas, zone string) ([]*Replica, error) {
	var replicas []*Replica
	for _, group := range read.GetGroups() {
		if len(group.Addresses) != len(group.Ids) {
			return nil, fmt.Errorf("%w: %d addresses for %d replicas", ErrInvalidList, len(group.Addresses), len(group.Ids))
		}
		var models []Model
		for _, model := range group.Models {
			models = append(models, Model{Name: model.Name, Revision: model.Revision})
		}
		for i, id := range group.Ids {
			if id == "" || group.Addresses[i] == "" || group.Service == "" {
				return nil, fmt.Errorf("%w: id %q, address %q, service %q", ErrInvalidList, id, group.Addresses[i], group.Service)
			}
			replicas = append(replicas, &Replica{
				ID:               id,
				Pool:             group.Service,
				Address:          group.Addresses[i],
				Zone:             zone,
				SoftwareRevision: group.SoftwareRevision,
				Slots:            int(group.Slots),
				State:            group.State,
				WarmupLeftMs:     group.WarmupLeftMs,
				Stage:            group.Stage,
				Models:           models,
			})
		}
	}
	return replicas, nil
}
