package parser

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"time"

	"cornellanding.example/core/timer"
	"go.yaml.in/yaml/v3"
)

// MaxFileSize is the maximum size of a file in bytes.
const MaxFileSize = 16 << 20

// maxValueInError is the length in bytes to which values in errors are truncated.
const maxValueInError = 80

// FieldError reports one invalid field of a file.
type FieldError struct {
	File string
	// Line counts from 1. It is 0 if the line is not known.
	Line int
	// Field is the path of the field, such as "services[2].owner", or "" if the file as
	// a whole is invalid.
	Field  string
	Value  string
	Reason string
}

// Error implements error.
func (er *FieldError) Error() string {
	if er.Line == 0 {
		return fmt.Sprintf("%s: %s: %q: %s", er.File, er.Field, shorten(er.Value), er.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %q: %s", er.File, er.Line, er.Field, shorten(er.Value), er.Reason)
}

func shorten(value string) string {
	if len(value) > maxValueInError {
		return value[:maxValueInError] + "..."
	}
	return value
}

// document collects the errors of one file.
type document struct {
	file string
	root *yaml.Node
	errs []error
}

// object is one YAML mapping of the file. The methods that read a field add an error to doc
// if it is invalid, and record that it has been consumed, so that rejectUnknownFields can
// report the others.
type object struct {
	doc      *document
	path     string
	line     int
	fields   map[string]*yaml.Node
	consumed map[string]bool
}

// parseDocument parses a file into its root object. If the file as a whole is invalid, the
// document has an error and the object is empty.
func parseDocument(file string, content []byte) (*document, *object) {
	doc := &document{file: file}
	if len(content) > MaxFileSize {
		doc.fail(1, "", fmt.Sprint(len(content)), fmt.Sprintf("is larger than %d bytes", MaxFileSize))
		return doc, doc.empty("")
	}
	de := yaml.NewDecoder(bytes.NewReader(content))
	var root yaml.Node
	if err := de.Decode(&root); err != nil {
		doc.fail(1, "", "", "is not YAML: "+err.Error())
		return doc, doc.empty("")
	}
	if err := de.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		doc.fail(1, "", "", "holds more than one YAML document")
	}
	doc.root = root.Content[0]
	return doc, doc.object("", doc.root)
}

func (doc *document) empty(path string) *object {
	return &object{doc: doc, path: path, consumed: map[string]bool{}}
}

func (doc *document) fail(line int, field, value, reason string) {
	doc.errs = append(doc.errs, &FieldError{File: doc.file, Line: line, Field: field, Value: value, Reason: reason})
}

func (doc *document) object(path string, node *yaml.Node) *object {
	ob := doc.empty(path)
	ob.line = node.Line
	if node.Kind != yaml.MappingNode {
		doc.fail(node.Line, path, node.Value, "must be a mapping")
		return ob
	}
	ob.fields = map[string]*yaml.Node{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		if ob.fields[name.Value] != nil {
			doc.fail(name.Line, join(path, name.Value), value.Value, "is a duplicate field")
		}
		ob.fields[name.Value] = value
	}
	return ob
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (ob *object) lookup(name string) *yaml.Node {
	ob.consumed[name] = true
	node := ob.fields[name]
	if node != nil && node.Kind == yaml.AliasNode {
		ob.fail(name, node, "aliases are not supported")
		return nil
	}
	return node
}

func (ob *object) fail(name string, node *yaml.Node, reason string) {
	line, value := ob.line, ""
	if node != nil {
		line, value = node.Line, node.Value
	}
	ob.doc.fail(line, join(ob.path, name), value, reason)
}

// rejectUnknownFields adds an error for each field that has not been consumed.
func (ob *object) rejectUnknownFields() {
	for name, node := range ob.fields {
		if !ob.consumed[name] {
			ob.fail(name, node, "unknown field")
		}
	}
}

func (ob *object) scalar(name string) (*yaml.Node, bool) {
	node := ob.lookup(name)
	if node == nil {
		return nil, false
	}
	if node.Kind != yaml.ScalarNode {
		ob.fail(name, node, "must be a single value")
		return nil, false
	}
	return node, true
}

func (ob *object) text(name string) string {
	node, ok := ob.scalar(name)
	if !ok {
		return ""
	}
	return node.Value
}

func (ob *object) required(name string) string {
	value := ob.text(name)
	if value == "" {
		ob.fail(name, ob.fields[name], "is needed")
	}
	return value
}

func (ob *object) number(name string, fallback float64) float64 {
	node, ok := ob.scalar(name)
	if !ok {
		return fallback
	}
	value, err := strconv.ParseFloat(node.Value, 64)
	if err != nil {
		ob.fail(name, node, "must be a number")
		return fallback
	}
	return value
}

func (ob *object) integer(name string, fallback int) int {
	node, ok := ob.scalar(name)
	if !ok {
		return fallback
	}
	value, err := strconv.Atoi(node.Value)
	if err != nil {
		ob.fail(name, node, "must be a whole number")
		return fallback
	}
	return value
}

func (ob *object) boolean(name string) bool {
	node, ok := ob.scalar(name)
	if !ok {
		return false
	}
	value, err := strconv.ParseBool(node.Value)
	if err != nil {
		ob.fail(name, node, "must be true or false")
	}
	return value
}

func (ob *object) span(name string, fallback timer.Span) timer.Span {
	node, ok := ob.scalar(name)
	if !ok {
		return fallback
	}
	value, err := time.ParseDuration(node.Value)
	if err != nil || value < 0 {
		ob.fail(name, node, "must be a duration of 0 or more, such as 500ms")
		return fallback
	}
	return timer.FromDuration(value)
}

// address reads a field of the form IP:port. Host names are rejected, since processes
// connect to each other by IP address only.
func (ob *object) address(name string, isRequired bool) string {
	node, ok := ob.scalar(name)
	if !ok {
		if isRequired {
			ob.fail(name, nil, "is needed, as IP:port")
		}
		return ""
	}
	if _, err := netip.ParseAddrPort(node.Value); err != nil {
		ob.fail(name, node, "must be IP:port")
	}
	return node.Value
}

// child returns the object in a field, or an empty one if the field is absent.
func (ob *object) child(name string, isRequired bool) *object {
	node := ob.lookup(name)
	if node == nil {
		if isRequired {
			ob.fail(name, nil, "is needed")
		}
		return ob.doc.empty(join(ob.path, name))
	}
	return ob.doc.object(join(ob.path, name), node)
}

// list returns the objects of a list in a field, or nil if the field is absent.
func (ob *object) list(name string) []*object {
	node := ob.lookup(name)
	if node == nil {
		return nil
	}
	if node.Kind != yaml.SequenceNode {
		ob.fail(name, node, "must be a list")
		return nil
	}
	var items []*object
	for i, item := range node.Content {
		items = append(items, ob.doc.object(fmt.Sprintf("%s[%d]", join(ob.path, name), i), item))
	}
	return items
}
