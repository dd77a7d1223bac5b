package applier

import (
	"maps"
	"slices"

	"bronzelead.example/pkg/wire"
)

// putTable replaces the table by one of a higher version. An equal or lower version
// changes nothing: the change has come before, or was overtaken.
func (r *StateMachine) putTable(cmd *wire.PutTable) {
	if r.table == nil || cmd.GetTable().GetVersion() > r.table.GetTable().GetVersion() {
		r.table = cmd
	}
}

func (r *StateMachine) putAdapterVersion(v *wire.AdapterVersion) {
	name := v.GetModel() + "/" + v.GetAdapter()
	if v.GetVersion() > r.adapters[name].GetVersion() {
		r.adapters[name] = v
	}
}

// Table returns the table in force with its document, or nil before the first.
func (r *StateMachine) Table() *wire.PutTable { return r.table }

// AdapterVersions returns the versions that adapters must have, sorted by name.
func (r *StateMachine) AdapterVersions() []*wire.AdapterVersion {
	list := make([]*wire.AdapterVersion, 0, len(r.adapters))
	for _, name := range slices.Sorted(maps.Keys(r.adapters)) {
		list = append(list, r.adapters[name])
	}
	return list
}
