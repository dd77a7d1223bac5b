// Package configurer reads a program's settings from an INI file into one struct.
//
// The struct has one field per section, itself a struct with one field per key. Field names are
// the names in the file, and values set before the call are the defaults. Tags: help describes
// a key, required demands a value, and allowed lists the values that a string may have. All
// faults of a file are reported, not only the first.
package configurer

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Fault describes one error in a settings file.
type Fault struct {
	File    string
	Section string
	Key     string
	// Problem says what is wrong and which values are allowed.
	Problem string
}

// String formats the fault as one line.
func (f Fault) String() string {
	switch {
	case f.Section == "":
		return fmt.Sprintf("%s: %s", f.File, f.Problem)
	case f.Key == "":
		return fmt.Sprintf("%s: [%s]: %s", f.File, f.Section, f.Problem)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", f.File, f.Section, f.Key, f.Problem)
}

// Read fills settings, a pointer to a struct of sections, from a file and returns all faults.
func Read(file string, settings any) []Fault {
	parsed, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false, KeyValueDelimiters: "="}, file)
	if err != nil {
		return []Fault{{File: file, Problem: "can't be read: " + err.Error()}}
	}
	r := &reader{file: file, ini: parsed, root: reflect.ValueOf(settings).Elem()}
	r.reportUnknown()
	r.fill()
	return r.faults
}

type reader struct {
	file   string
	ini    *ini.File
	root   reflect.Value
	faults []Fault
}

func (r *reader) addFault(section, key, format string, args ...any) {
	r.faults = append(r.faults, Fault{
		File: r.file, Section: section, Key: key, Problem: fmt.Sprintf(format, args...),
	})
}

// reportUnknown reports sections and keys that the struct doesn't have.
func (r *reader) reportUnknown() {
	for _, section := range r.ini.Sections() {
		if section.Name() == ini.DefaultSection {
			for _, key := range section.Keys() {
				r.addFault("", "", "key %s stands before the first section", key.Name())
			}
			continue
		}
		field, ok := r.root.Type().FieldByName(section.Name())
		if !ok {
			r.addFault(section.Name(), "", "unknown section; known are %s", strings.Join(fieldNames(r.root.Type()), ", "))
			continue
		}
		for _, key := range section.Keys() {
			if _, ok := field.Type.FieldByName(key.Name()); !ok {
				r.addFault(section.Name(), key.Name(), "unknown key; known are %s", strings.Join(fieldNames(field.Type), ", "))
			}
		}
	}
}

func (r *reader) fill() {
	for i := range r.root.NumField() {
		section := r.root.Type().Field(i)
		for j := range section.Type.NumField() {
			r.fillKey(section.Name, section.Type.Field(j), r.root.Field(i).Field(j))
		}
	}
}

func (r *reader) fillKey(section string, field reflect.StructField, value reflect.Value) {
	text := ""
	if r.ini.HasSection(section) {
		text = strings.TrimSpace(r.ini.Section(section).Key(field.Name).String())
	}
	if text != "" {
		if err := setValue(value, text); err != "" {
			r.addFault(section, field.Name, "%q is not allowed; %s", text, err)
			return
		}
	}
	if field.Tag.Get("required") != "" && value.IsZero() {
		r.addFault(section, field.Name, "a value is required: %s", field.Tag.Get("help"))
		return
	}
	allowed := field.Tag.Get("allowed")
	if allowed != "" && !contains(strings.Split(allowed, ","), value.String()) {
		r.addFault(section, field.Name, "%q is not allowed; it may be %s", value.String(), allowed)
	}
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}

// setValue parses text into value. It returns a description of valid values if text is invalid,
// otherwise "".
func setValue(value reflect.Value, text string) string {
	switch value.Interface().(type) {
	case time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return "it is a duration such as 500ms, 3s or 10m"
		}
		value.SetInt(int64(d))
		return ""
	case []string:
		value.Set(reflect.ValueOf(splitList(text)))
		return ""
	}
	switch value.Kind() {
	case reflect.String:
		value.SetString(text)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return "it is true or false"
		}
		value.SetBool(b)
	case reflect.Int:
		n, err := strconv.ParseInt(text, 10, 32)
		if err != nil || n < 0 {
			return "it is a whole number from 0 up"
		}
		value.SetInt(n)
	case reflect.Float64:
		return setFloat(value, text)
	default:
		return "its type is not known to the program"
	}
	return ""
}

func setFloat(value reflect.Value, text string) string {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		return "it is a number from 0 up"
	}
	value.SetFloat(f)
	return ""
}

func splitList(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func fieldNames(t reflect.Type) []string {
	all := make([]string, t.NumField())
	for i := range all {
		all[i] = t.Field(i).Name
	}
	return all
}

// Describe returns a Markdown table of all settings with their defaults.
func Describe(settings any) string {
	var b strings.Builder
	root := reflect.ValueOf(settings).Elem()
	for i := range root.NumField() {
		section := root.Type().Field(i)
		fmt.Fprintf(&b, "\n### [%s]\n\n| key | default | meaning |\n| --- | --- | --- |\n", section.Name)
		for j := range section.Type.NumField() {
			field := section.Type.Field(j)
			fmt.Fprintf(&b, "| %s | %s | %s |\n", field.Name, defaultOf(field, root.Field(i).Field(j)), helpText(field))
		}
	}
	return b.String()
}

func defaultOf(field reflect.StructField, value reflect.Value) string {
	if field.Tag.Get("required") != "" {
		return "required"
	}
	if items, ok := value.Interface().([]string); ok {
		return strings.Join(items, ", ")
	}
	return fmt.Sprint(value.Interface())
}

func helpText(field reflect.StructField) string {
	help := field.Tag.Get("help")
	if allowed := field.Tag.Get("allowed"); allowed != "" {
		help += " One of " + strings.ReplaceAll(allowed, ",", ", ") + "."
	}
	return help
}
