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

// AlreadyLoadedText is in the text with which an engine refuses to load twice.
const AlreadyLoadedText = "already been loaded"

// LoadRequest is the published call that loads an adapter.
type LoadRequest struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// UnloadRequest is the published call that unloads an adapter.
type UnloadRequest struct {
	Name string `json:"lora_name"`
}

// FencingNumber writes an order's term and sequence so that later ones compare
// greater, both as text and as a number.
func FencingNumber(term, sequence uint64) string {
	return fmt.Sprintf("%010d%010d", term, sequence)
}

// OrderClient sends orders to engines. Set the exported fields before use.
type OrderClient struct {
	// Client bounds each order in time.
	Client interface {
		Do(*http.Request) (*http.Response, error)
	}
	// WeightsURL is put before an adapter's name for the engine to load from.
	WeightsURL string
}

// Load orders an engine to load an adapter.
func (o *OrderClient) Load(ctx context.Context, address, adapter, fencing string) error {
	return o.post(ctx, "http://"+address+LoadPath, fencing, LoadRequest{Name: adapter, Path: o.WeightsURL + adapter})
}

// Unload orders an engine to unload an adapter.
func (o *OrderClient) Unload(ctx context.Context, address, adapter, fencing string) error {
	return o.post(ctx, "http://"+address+UnloadPath, fencing, UnloadRequest{Name: adapter})
}

func (o *OrderClient) post(ctx context.Context, url, fencing string, body any) error {
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
	res, err := o.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "translator: order")
	}
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxRefusal))
	if res.StatusCode != http.StatusOK && !o.done(res.StatusCode, text, body) {
		return fail("Order", KindRefused, "%s: %s", res.Status, bytes.TrimSpace(text))
	}
	return nil
}

// done recognizes refusals which say that what was ordered is so already.
func (o *OrderClient) done(status int, text []byte, body any) bool {
	switch body.(type) {
	case LoadRequest:
		return status == http.StatusBadRequest && bytes.Contains(text, []byte(AlreadyLoadedText))
	case UnloadRequest:
		return status == http.StatusNotFound
	}
	return false
}
