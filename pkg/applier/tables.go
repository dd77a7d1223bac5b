package applier

import (
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
