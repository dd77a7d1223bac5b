package app

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// print writes an answer in the format that the operator chose, JSON or text.
func (s *environment) print(answer proto.Message, text string) error {
	if s.json {
		data, err := protojson.MarshalOptions{Multiline: true}.Marshal(answer)
		if err != nil {
			return errors.Wrap(err, "bronzectl")
		}
		text = string(data)
	}
	_, err := fmt.Fprintln(s.out, text)
	return errors.Wrap(err, "bronzectl")
}

// table aligns columns.
type table struct {
	text   strings.Builder
	writer *tabwriter.Writer
}

const columnGap = 2

func newTable(columns ...string) *table {
	t := &table{}
	t.writer = tabwriter.NewWriter(&t.text, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(t.writer, strings.Join(columns, "\t"))
	return t
}

func (t *table) add(values ...any) {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = fmt.Sprint(v)
	}
	_, _ = fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

// String returns the aligned table without its last newline.
func (t *table) String() string {
	_ = t.writer.Flush()
	return strings.TrimRight(t.text.String(), "\n")
}
