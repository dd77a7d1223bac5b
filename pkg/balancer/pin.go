package balancer

// Pin restricts a request to the backend servers of one software version: those that may go on with a
// stream which that version began. The zero value is no restriction.
type Pin struct {
	Set     bool
	Version string
}

// PinTo returns the restriction to a software version. Backend servers that announce none have the
// version "".
func PinTo(version string) Pin { return Pin{Set: true, Version: version} }

// allows reports whether a backend server may get the request.
func (p Pin) allows(k *backend) bool { return !p.Set || k.info.GetSoftwareVersion() == p.Version }

// reasonWithoutBackend is why a request is refused if it may go to no backend server.
func (p Pin) reasonWithoutBackend() string {
	if p.Set {
		return ReasonNoVersion
	}
	return ReasonNoBackend
}
