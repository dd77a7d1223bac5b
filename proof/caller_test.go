package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	qt "github.com/frankban/quicktest"
)

// reply is the answer that a caller received.
type reply struct {
	status int
	body   string
	err    error
	header http.Header
}

// ran returns a refusal's statement on whether the request ran, or "".
func (r reply) ran() string {
	p := struct {
		Error struct{ Ran, Kind string }
	}{}
	_ = json.Unmarshal([]byte(r.body), &p)
	return p.Error.Ran
}

// call sends a request to a gateway and returns the answer.
func (y *system) call(gateway int, method, path, key, body string) reply {
	req, err := http.NewRequest(method, "http://"+y.gatewayAddrs[gateway]+path, bytes.NewReader([]byte(body)))
	y.c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+customerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := y.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, body: string(data), err: err, header: res.Header}
}

const tokens = 20

// complete requests a completion.
func (y *system) complete(gateway int, model string, stream bool) reply {
	body := fmt.Sprintf(`{"model":%q,"prompt":"two loaves","max_tokens":%d,"stream":%t}`, model, tokens, stream)
	return y.call(gateway, http.MethodPost, "/v1/completions", "", body)
}

// isComplete reports whether an answer consists of exactly the tokens that the model's engine
// generates, in order.
func isComplete(r reply, model string, stream bool) bool {
	want := ""
	for i := range tokens {
		want += fmt.Sprintf("%s#%d ", model, i)
	}
	if !stream {
		a := answerBody{}
		return r.err == nil && json.Unmarshal([]byte(r.body), &a) == nil && a.text() == want && a.Model == model
	}
	got := ""
	lines := strings.Split(strings.TrimSpace(r.body), "\n\n")
	for _, line := range lines[:len(lines)-1] {
		a := answerBody{}
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &a) != nil || a.Model != model {
			return false
		}
		got += a.text()
	}
	return r.err == nil && got == want && lines[len(lines)-1] == "data: [DONE]"
}

type answerBody struct {
	Model   string
	Choices []struct{ Text string }
}

func (a answerBody) text() string {
	text := ""
	for _, c := range a.Choices {
		text += c.Text
	}
	return text
}
