package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps dotted keys such as "operator[1].hash" to their lines.
type lineIndex struct {
	lines map[string]int
	// numbers are the keys whose value is a bare number, in the order of the file.
	numbers []string
	// counts holds the number of elements found of each array of tables.
	counts map[string]int
	// table is the prefix of the keys in the current table, with its dot.
	table string
}

// indexLines returns the lines of all keys, up to the first syntax error.
func indexLines(data []byte) *lineIndex {
	idx := &lineIndex{lines: map[string]int{}, counts: map[string]int{}}
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		idx.add(&p, p.Expression())
	}
	return idx
}

// add indexes an expression: a table, an element of an array of tables, or a key
// with its value.
func (idx *lineIndex) add(p *unstable.Parser, node *unstable.Node) {
	key, line := keyAndLine(p, node)
	switch node.Kind {
	case unstable.Table:
		idx.lines[key] = line
		idx.table = key + "."
	case unstable.ArrayTable:
		element := fmt.Sprintf("%s[%d]", key, idx.counts[key])
		idx.counts[key]++
		idx.lines[element] = line
		idx.table = element + "."
	case unstable.KeyValue:
		idx.addValue(p, idx.table+key, line, node.Value())
	}
}

// addValue indexes a key and, if its value is an inline table, the keys in it.
func (idx *lineIndex) addValue(p *unstable.Parser, key string, line int, value *unstable.Node) {
	idx.lines[key] = line
	switch value.Kind {
	case unstable.Integer, unstable.Float:
		idx.numbers = append(idx.numbers, key)
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			name, line := keyAndLine(p, it.Node())
			idx.addValue(p, key+"."+name, line, it.Node().Value())
		}
	}
}

// keyAndLine returns the dotted key of a node and the line of its first part.
func keyAndLine(p *unstable.Parser, node *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := node.Key(); it.Next(); {
		part := it.Node()
		parts = append(parts, string(part.Data))
		if line == 0 {
			line = p.Shape(part.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}

// line returns the line of the key or of the innermost table that contains it.
func (idx *lineIndex) line(key string) int {
	for key != "" {
		if line, ok := idx.lines[key]; ok {
			return line
		}
		key = parentKey(key)
	}
	return 1
}

// elementKey inserts the index of the array element that contains the line into
// the key: "operator.hash" becomes "operator[1].hash". Keys outside arrays of
// tables are returned unchanged.
func (idx *lineIndex) elementKey(key string, line int) string {
	table, name, found := strings.Cut(key, ".")
	count := idx.counts[table]
	if !found || count == 0 {
		return key
	}
	at := 0
	for i := range count {
		if idx.lines[fmt.Sprintf("%s[%d]", table, i)] <= line {
			at = i
		}
	}
	return fmt.Sprintf("%s[%d].%s", table, at, name)
}

// parentKey returns the key without its last part or index; empty for a key of one
// part.
func parentKey(key string) string {
	at := strings.LastIndexAny(key, ".[")
	if at < 0 {
		return ""
	}
	return key[:at]
}
