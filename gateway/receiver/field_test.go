package receiver

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFieldsOfBodies(t *testing.T) {
	for name, test := range map[string]struct{ body, want string }{
		"text":            {`{"other":[1,{"order":"x"}],"order":"a"}`, "a"},
		"number":          {`{"order":17}`, "17"},
		"object":          {`{"order":{"id":1}}`, `{"id":1}`},
		"absent":          {`{"other":1}`, ""},
		"null":            {`{"order":null}`, ""},
		"the last counts": {`{"order":"a","order":"b"}`, "b"},
		"no object":       {`["order"]`, ""},
		"no JSON":         {`{"order":"a"`, ""},
		"more than JSON":  {`{"order":"a"} x`, ""},
		"empty":           {``, ""},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(jsonField([]byte(test.body), "order"), qt.Equals, test.want)
		})
	}
}
