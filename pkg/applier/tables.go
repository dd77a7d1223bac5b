package applier

import (
	"cmp"
	"maps"
	"slices"

	"bronzelead.example/pkg/wire"
)

// putTable replaces the table by one of a higher version. An equal or lower version changes
// nothing: the change was applied before, or is superseded.
func (sm *StateMachine) putTable(cmd *wire.PutTable) {
	if sm.table == nil || cmd.GetTable().GetVersion() > sm.table.GetTable().GetVersion() {
		sm.table = cmd
	}
}

func (sm *StateMachine) putAdapterVersion(v *wire.AdapterVersion) {
	name := v.GetModel() + "/" + v.GetAdapter()
	if v.GetVersion() > sm.adapters[name].GetVersion() {
		sm.adapters[name] = v
	}
}

// Table returns the table in force with its document, or nil before the first.
func (sm *StateMachine) Table() *wire.PutTable { return sm.table }

// AdapterVersions returns the required versions of adapters, sorted by name.
func (sm *StateMachine) AdapterVersions() []*wire.AdapterVersion {
	list := make([]*wire.AdapterVersion, 0, len(sm.adapters))
	for _, name := range slices.Sorted(maps.Keys(sm.adapters)) {
		list = append(list, sm.adapters[name])
	}
	return list
}

// softwareKey identifies a software version of a service.
type softwareKey struct {
	service, version string
}

func (sm *StateMachine) putSoftwareVersion(v *wire.SoftwareVersion) {
	key := softwareKey{v.GetService(), v.GetVersion()}
	if v.GetGone() {
		delete(sm.software, key)
		return
	}
	sm.software[key] = v
}

// SoftwareVersions returns the software versions that backend servers have, or had recently, sorted.
func (sm *StateMachine) SoftwareVersions() []*wire.SoftwareVersion {
	return slices.SortedFunc(maps.Values(sm.software), func(a, b *wire.SoftwareVersion) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetVersion(), b.GetVersion()))
	})
}

// HasSoftwareVersion reports whether a software version of a service is among them.
func (sm *StateMachine) HasSoftwareVersion(service, version string) bool {
	return sm.software[softwareKey{service, version}] != nil
}
