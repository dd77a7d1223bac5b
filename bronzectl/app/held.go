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

// Run lists what is held back.
func (c *heldListCommand) Run(s *session) error {
	res := &wire.ListHeldResponse{}
	err := s.callMesh(func(m wire.Mesh) (err error) {
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

// Run releases a request.
func (c *heldReleaseCommand) Run(s *session) error {
	release := &wire.ReleaseHeld{Fingerprint: c.Fingerprint, Reason: "released by " + c.By}
	err := s.callMesh(func(m wire.Mesh) error {
		_, err := m.Put(s.ctx, &wire.PutRequest{Change: &wire.PutRequest_ReleaseHeld{ReleaseHeld: release}})
		return err
	})
	if err != nil {
		return err
	}
	return s.print(release, c.Fingerprint+" is held back no longer")
}

// callMesh tries a call of the routed mode at one controller after the other until it is
// answered.
func (s *session) callMesh(f func(wire.Mesh) error) error {
	return s.controllers.Try(s.ctx, s.pause, func(address string) error {
		return f(wire.NewMeshProtobufClient("http://"+address, s.client))
	})
}
