package translator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

const maxRefusal = 4 << 10

// AlreadyLoadedText is part of an engine's refusal to load an adapter that it has loaded.
const AlreadyLoadedText = "already been loaded"

// LoadRequest is the published request that loads an adapter.
type LoadRequest struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// UnloadRequest is the published request that unloads an adapter.
type UnloadRequest struct {
	Name string `json:"lora_name"`
}

// FencingNumber formats an order's term and sequence so that later numbers compare greater,
// both as text and as numbers.
func FencingNumber(term, sequence uint64) string {
	return fmt.Sprintf("%010d%010d", term, sequence)
}

// OrderClient sends orders to engines. Set the exported fields before use.
type OrderClient struct {
	// Client must limit the duration of each order.
	Client interface {
		Do(*http.Request) (*http.Response, error)
	}
	// WeightsURL is the prefix of the URL from which an engine loads an adapter.
	WeightsURL string
}

// Load orders an engine to load an adapter.
func (c *OrderClient) Load(ctx context.Context, address, adapter, fencing string) error {
	return c.post(ctx, "http://"+address+LoadPath, fencing, LoadRequest{Name: adapter, Path: c.WeightsURL + adapter})
}

// Unload orders an engine to unload an adapter.
func (c *OrderClient) Unload(ctx context.Context, address, adapter, fencing string) error {
	return c.post(ctx, "http://"+address+UnloadPath, fencing, UnloadRequest{Name: adapter})
}

func (c *OrderClient) post(ctx context.Context, url, fencing string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "translator: order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "translator: order")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(FencingHeader, fencing)
	res, err := c.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "translator: order")
	}
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxRefusal))
	if res.StatusCode != http.StatusOK && !c.alreadyDone(res.StatusCode, text, body) {
		return fail("Order", KindRefused, "%s: %s", res.Status, bytes.TrimSpace(text))
	}
	return nil
}

// alreadyDone reports whether a refusal means that the ordered state is already reached.
func (c *OrderClient) alreadyDone(status int, text []byte, body any) bool {
	switch body.(type) {
	case LoadRequest:
		return status == http.StatusBadRequest && bytes.Contains(text, []byte(AlreadyLoadedText))
	case UnloadRequest:
		return status == http.StatusNotFound
	}
	return false
}
