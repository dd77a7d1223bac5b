package app

import (
	"log/slog"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/pkg/storer"
)

// openedFolder is a data folder that was opened.
type openedFolder struct {
	storer   *storer.Storer
	contents *storer.Contents
	id       string
	cluster  string
}

// openFolder reads the data folder. The files of a damaged one are moved aside: the votes on
// this disk are lost, so the instance joins again as a new incarnation.
func openFolder(path, instance string, clock clockwork.Clock, log *slog.Logger) (*openedFolder, error) {
	f := &openedFolder{storer: &storer.Storer{Folder: path}}
	contents, err := f.storer.Open()
	if err == nil {
		_, _, err = f.storer.Identity()
	}
	if storer.IsDamaged(err) {
		aside, moveErr := f.storer.MoveDamagedFiles(clock.Now())
		if moveErr != nil {
			return nil, errors.Wrap(moveErr, "app")
		}
		log.Error("the data folder is damaged; the instance joins anew", "Error", err.Error(), "Aside", aside)
		contents, err = f.storer.Open()
	}
	if err != nil {
		return nil, errors.Wrap(err, "app")
	}
	f.contents = contents
	if f.id, f.cluster, err = f.storer.Identity(); err != nil {
		return nil, errors.Wrap(err, "app")
	}
	if f.id != "" {
		return f, nil
	}
	f.id = newMemberID(instance)
	return f, errors.Wrap(f.storer.SetIdentity(f.id, ""), "app")
}
