package app

import (
	"strings"
	"time"

	"bronzelead.example/pkg/wire"
)

type heldCommands struct {
	List    heldListCommand    `cmd:"" help:"List requests that are held back, since backend servers end when they run them."`
	Release heldReleaseCommand `cmd:"" help:"Let a request be served again."`
}

type heldListCommand struct{}

// Run lists the quarantined requests.
func (c *heldListCommand) Run(s *environment) error {
	res := &wire.ListHeldResponse{}
	err := s.callEither(func(o wire.Operator) (err error) {
		res, err = o.ListHeld(s.ctx, &wire.ListHeldRequest{})
		return err
	}, func(m wire.Mesh) (err error) {
		res, err = m.ListHeld(s.ctx, &wire.ListHeldRequest{})
		return err
	})
	if err != nil {
		return err
	}
	return s.print(res, heldTable(res.GetHeld()))
}

func heldTable(held []*wire.HeldRequest) string {
	t := newTable("FINGERPRINT", "SINCE", "STATE", "SERVICE", "MODEL", "PLACE", "CALLER", "ENDED")
	for _, h := range held {
		state := "Held"
		if h.GetOnTrial() {
			state = "OnTrial"
		}
		t.add(h.GetFingerprint(), time.Unix(0, h.GetHeldAtNs()).UTC().Format(time.RFC3339), state, h.GetService(), h.GetModel(),
			h.GetPlace(), h.GetCaller(), strings.Join(h.GetBackends(), ","))
	}
	return t.String()
}

type heldReleaseCommand struct {
	Fingerprint string `arg:"" help:"Its fingerprint, as held list shows it."`
	By          string `required:"" help:"Who releases it, for the logs."`
}

// Run releases a request from quarantine.
func (c *heldReleaseCommand) Run(s *environment) error {
	release := &wire.ReleaseHeld{Fingerprint: c.Fingerprint, Reason: "released by " + c.By}
	err := s.callEither(func(o wire.Operator) error {
		_, err := o.Unhold(s.ctx, release)
		return err
	}, func(m wire.Mesh) error {
		_, err := m.Put(s.ctx, &wire.PutRequest{Change: &wire.PutRequest_ReleaseHeld{ReleaseHeld: release}})
		return err
	})
	if err != nil {
		return err
	}
	return s.print(release, c.Fingerprint+" is held back no longer")
}

// callEither calls controllers of the contracts' mode, which require a key, or of the routed
// mode, which have no keys.
func (s *environment) callEither(contracts func(wire.Operator) error, routed func(wire.Mesh) error) error {
	if s.key != "" {
		return s.call(contracts)
	}
	return s.controllers.Try(s.ctx, s.pause, func(address string) error {
		return routed(wire.NewMeshProtobufClient("http://"+address, s.client))
	})
}
