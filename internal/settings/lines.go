package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex finds the line of a dotted key such as "operator[1].hash".
type lineIndex struct {
	lines map[string]int
	// numbers lists the keys with a bare number, in the order of the file.
	numbers []string
	// counts holds the number of elements seen of each array of tables.
	counts map[string]int
	// table is the prefix of the keys that follow, with its dot.
	table string
}

// indexLines reads the positions of all keys. A syntax error ends the index.
func indexLines(data []byte) *lineIndex {
	idx := &lineIndex{lines: map[string]int{}, counts: map[string]int{}}
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		idx.add(&p, p.Expression())
	}
	return idx
}

func (idx *lineIndex) add(p *unstable.Parser, node *unstable.Node) {
	key, line := keyOf(p, node)
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

func (idx *lineIndex) addValue(p *unstable.Parser, key string, line int, value *unstable.Node) {
	idx.lines[key] = line
	switch value.Kind {
	case unstable.Integer, unstable.Float:
		idx.numbers = append(idx.numbers, key)
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			name, line := keyOf(p, it.Node())
			idx.addValue(p, key+"."+name, line, it.Node().Value())
		}
	}
}

func keyOf(p *unstable.Parser, node *unstable.Node) (string, int) {
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

// line returns the line of the key or of the nearest table around it.
func (idx *lineIndex) line(key string) int {
	for key != "" {
		if line, ok := idx.lines[key]; ok {
			return line
		}
		key = parentKey(key)
	}
	return 1
}

// element returns the key with the index of the array of tables that the line
// stands in, so that "operator.hash" becomes "operator[1].hash".
func (idx *lineIndex) element(key string, line int) string {
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

func parentKey(key string) string {
	at := strings.LastIndexAny(key, ".[")
	if at < 0 {
		return ""
	}
	return key[:at]
}
