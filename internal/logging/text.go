package logging

import (
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/apex/log"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// textHandler writes one line per entry: time, level, message and fields. It uses
// no colours, so that the output stays readable in files and pipes.
type textHandler struct {
	mu sync.Mutex
	w  io.Writer
}

func newTextHandler(w io.Writer) *textHandler { return &textHandler{w: w} }

// HandleLog implements log.Handler.
func (h *textHandler) HandleLog(e *log.Entry) error {
	var line strings.Builder
	fmt.Fprintf(&line, "%s %-5s %s", e.Timestamp.Format(timeFormat), strings.ToUpper(e.Level.String()), oneLine(e.Message))
	for _, name := range e.Fields.Names() {
		fmt.Fprintf(&line, " %s=%s", name, fieldText(e.Fields.Get(name)))
	}
	line.WriteByte('\n')
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := io.WriteString(h.w, line.String())
	return err
}

// fieldText returns the text of a value, quoted if it is empty or contains spaces,
// quotes, equals signs or line breaks.
func fieldText(value any) string {
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " \t\r\n\"=") {
		return fmt.Sprintf("%q", text)
	}
	return text
}

// oneLine escapes line breaks, so that text from outside cannot forge log lines.
func oneLine(text string) string {
	return strings.NewReplacer("\n", `\n`, "\r", `\r`).Replace(text)
}
