package parser

import (
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// FieldLine returns the line of a field in a YAML or JSON file, counted from 1, or that of
// the innermost entry that would contain it. Field is a path such as
// "routes[2].timeout". It returns 0 if the file can't be parsed.
func FieldLine(content []byte, field string) int {
	var root yaml.Node
	if err := yaml.Unmarshal(content, &root); err != nil || len(root.Content) == 0 {
		return 0
	}
	return lineOf(root.Content[0], field)
}

// lineOf is FieldLine for a file's root entry.
func lineOf(node *yaml.Node, field string) int {
	line := node.Line
	for _, step := range strings.FieldsFunc(field, func(ch rune) bool { return ch == '.' || ch == '[' || ch == ']' }) {
		next, at := childOf(node, step)
		if next == nil {
			break
		}
		node, line = next, at
	}
	return line
}

// childOf returns the value of a mapping's field or the entry of a list, and its line.
func childOf(node *yaml.Node, step string) (*yaml.Node, int) {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == step {
				return node.Content[i+1], node.Content[i].Line
			}
		}
	case yaml.SequenceNode:
		index, err := strconv.Atoi(step)
		if err == nil && index >= 0 && index < len(node.Content) {
			return node.Content[index], node.Content[index].Line
		}
	}
	return nil, 0
}
