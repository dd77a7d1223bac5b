// Package announcer announces a stand-in backend server to gateways.
package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/translator"
)

const callTimeout = 500 * time.Millisecond

// Announcer announces one backend server. Set the exported fields, then call Run.
type Announcer struct {
	// Gateways are called in turn, as a load balancer would.
	Gateways []string
	Key      string
	Interval time.Duration
	// Current returns the announcement to send.
	Current func() translator.Announcement

	next int
}

// Run announces the server until ctx ends, and then once more, as leaving if Current says so.
func (a *Announcer) Run(ctx context.Context) {
	client := &connector.Client{Timeout: callTimeout, Key: a.Key, Transport: connector.NewTransport(nil)}
	ticker := time.NewTicker(a.Interval)
	defer ticker.Stop()
	for {
		a.announce(client)
		select {
		case <-ctx.Done():
			a.announce(client)
			return
		case <-ticker.C:
		}
	}
}

// announce sends the announcement to the next gateway that accepts it.
func (a *Announcer) announce(client *connector.Client) {
	body, err := json.Marshal(a.Current())
	if err != nil {
		return
	}
	for range a.Gateways {
		address := a.Gateways[a.next%len(a.Gateways)]
		a.next++
		if post(client, address, body) {
			return
		}
	}
}

func post(client *connector.Client, address string, body []byte) bool {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+translator.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return false
	}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
