package app

import (
	"crypto/rand"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/storer"
	"bronzelead.example/pkg/wire"
)

// Init creates a new cluster whose first member is this instance. The other members join when
// they run. It refuses a folder that holds anything: a member that lost its disk must join
// again instead, or there would be two clusters.
func Init(s *Settings) (string, error) {
	folder := &storer.Storer{Folder: s.Data.Folder}
	contents, err := folder.Open()
	if err != nil {
		return "", errors.Wrap(err, "app")
	}
	defer func() { _ = folder.Close() }()
	id, _, err := folder.Identity()
	if err != nil {
		return "", errors.Wrap(err, "app")
	}
	if id != "" || contents.Snapshot != nil || contents.HardState != nil {
		return "", errors.Errorf("app: folder %s is in use; init is only for a new cluster", s.Data.Folder)
	}
	snapshot, id, err := firstSnapshot(s)
	if err != nil {
		return "", err
	}
	if err := folder.SaveSnapshot(snapshot, nil); err != nil {
		return "", errors.Wrap(err, "app")
	}
	if err := folder.Append(&wire.HardState{Term: 1}, nil); err != nil {
		return "", errors.Wrap(err, "app")
	}
	cluster := rand.Text()
	// The identity is written last: without it the folder counts as empty.
	return cluster, errors.Wrap(folder.SetIdentity(id, cluster), "app")
}

// firstSnapshot admits the members named in the settings and gives the only vote to this
// instance.
func firstSnapshot(s *Settings) (*wire.Snapshot, string, error) {
	state, err := applier.InitialState(s.Members.Names)
	if err != nil {
		return nil, "", errors.Wrap(err, "app")
	}
	id := newMemberID(s.Instance.Name)
	first := &wire.Member{Id: id, Name: s.Instance.Name, Address: s.address(), Zone: s.Instance.Zone}
	return &wire.Snapshot{
		Index: 1, Term: 1, State: state, Configuration: &wire.Configuration{Voters: []*wire.Member{first}},
	}, id, nil
}
