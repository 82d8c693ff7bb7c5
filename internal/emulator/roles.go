package emulator

import (
	"encoding/json"
	"io"
	"slices"
	"time"

	"shaletrestle/internal/errkind"
	"shaletrestle/internal/settings"
)

// The roles of controllers. A relay is in no view.
const (
	rolePrimary = "primary"
	roleBackup  = "backup"
	roleWitness = "witness"
	roleRelay   = "relay"
)

// memberAddress is a member as a controller's state page names it.
type memberAddress struct {
	Address string `json:"address"`
}

// viewPage is the replication view on a controller's state page.
type viewPage struct {
	Primary   memberAddress   `json:"primary"`
	Backups   []memberAddress `json:"backups"`
	Witnesses []memberAddress `json:"witnesses"`
}

// controllerPage is the part of a controller's state page that is used here.
type controllerPage struct {
	Replication struct {
		Active bool      `json:"active"`
		View   *viewPage `json:"view"`
	} `json:"replication"`
	Updates struct {
		Number uint64 `json:"number"`
		Acked  uint64 `json:"acked"`
	} `json:"news"`
}

func (f *hollowFleet) page(controller *daemon) (*controllerPage, error) {
	url := "http://" + f.addresses.address(controller.ip, settings.ControlStatePortOffset)
	response, err := probes.Get(url)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unavailable, err, "page")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unavailable, err, "page")
	}
	page := &controllerPage{}
	return page, errkind.Wrap(errkind.Unavailable, json.Unmarshal(body, page), "page")
}

// controllerRoles gives one controller, by its index, of each role.
type controllerRoles map[string]int

// roles gives the controllers by role and the primary's page.
func (f *hollowFleet) roles() (controllerRoles, *controllerPage, error) {
	for primary, controller := range f.controllers {
		page, err := f.page(controller)
		if err != nil || !page.Replication.Active || page.Replication.View == nil {
			continue
		}
		return f.rolesIn(page.Replication.View, primary), page, nil
	}
	return nil, nil, errkind.New(errkind.Unavailable, "no primary")
}

// rolesIn finds the first controller of each role in a view.
func (f *hollowFleet) rolesIn(view *viewPage, primary int) controllerRoles {
	roles := controllerRoles{rolePrimary: primary}
	for i, controller := range f.controllers {
		if i == primary {
			continue
		}
		role := view.roleOf(f.addresses.address(controller.ip, settings.ControlPortOffset))
		if _, found := roles[role]; !found {
			roles[role] = i
		}
	}
	return roles
}

// roleOf is the role of a member that is not the primary; a backup that is a witness
// too counts as a backup.
func (v *viewPage) roleOf(address string) string {
	member := memberAddress{Address: address}
	switch {
	case slices.Contains(v.Backups, member):
		return roleBackup
	case slices.Contains(v.Witnesses, member):
		return roleWitness
	}
	return roleRelay
}

// awaitPrimary waits until there is a primary and gives the controllers by role.
func (f *hollowFleet) awaitPrimary() (controllerRoles, error) {
	var roles controllerRoles
	err := await(f.ctx, f.readyTimeout(), "there was no primary", func() bool {
		found, _, err := f.roles()
		roles = found
		return err == nil
	})
	return roles, err
}

// timeChange makes one change and gives the time until every connected node has it
// in force.
func (f *hollowFleet) timeChange(number int) (time.Duration, error) {
	start := time.Now()
	if _, err := f.changeRoute(number, 10001+number); err != nil {
		return 0, err
	}
	err := await(f.ctx, f.readyTimeout(), "a change was not in force", func() bool {
		_, page, err := f.roles()
		return err == nil && page.Updates.Number > 0 && page.Updates.Acked == page.Updates.Number
	})
	return time.Since(start), err
}
