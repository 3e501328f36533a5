package peergrpc

import (
	"strings"
	"time"
	"unicode/utf8"

	"github.com/apex/log"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/wigeonsail/wigeonsail/api/peer"
)

// Protocol buffers refuse a whole message if one of its strings is not valid UTF-8. Names
// come from other writers, and a message holds what many of them have written, so that
// one of them must not stop what is known of the others.

// invalidTextLogs limits the rate of log messages about text that is not valid UTF-8.
var invalidTextLogs = rate.Sometimes{First: 3, Interval: 10 * time.Second}

// withValidText returns a message without the elements of lists that have a string which is
// not valid UTF-8, and with replacement characters in such strings elsewhere. It returns
// false if that does not make the message valid, or would change the request of a caller
// or the response to it.
func withValidText(message proto.Message) (proto.Message, bool) {
	switch message.(type) {
	case *peer.ForwardRequest, *peer.AttemptPart:
		return nil, false
	}
	out := proto.Clone(message)
	changed := dropInvalidElements(out.ProtoReflect()) + replaceInvalidText(out.ProtoReflect())
	if changed == 0 {
		return nil, false
	}
	name := message.ProtoReflect().Descriptor().Name()
	invalidTextLogs.Do(func() {
		log.WithField("message", string(name)).WithField("count", changed).Warn("peers: names that are not valid UTF-8 left out")
	})
	return out, true
}

// dropInvalidElements removes the innermost list elements that have invalid text, and
// returns their number.
func dropInvalidElements(m protoreflect.Message) int {
	dropped := 0
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.IsList():
			dropped += filterList(field, value.List())
		case field.Message() != nil:
			dropped += dropInvalidElements(value.Message())
		}
		return true
	})
	return dropped
}

// filterList removes the elements of a list that have invalid text, and returns their
// number.
func filterList(field protoreflect.FieldDescriptor, list protoreflect.List) int {
	kept, dropped := 0, 0
	for i := range list.Len() {
		element := list.Get(i)
		if field.Message() != nil {
			dropped += dropInvalidElements(element.Message())
		}
		if hasInvalidText(field, element) {
			dropped++
			continue
		}
		list.Set(kept, element)
		kept++
	}
	list.Truncate(kept)
	return dropped
}

// hasInvalidText reports whether a value of a field is or has a string that is not valid
// UTF-8, outside of lists.
func hasInvalidText(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
	if field.Kind() == protoreflect.StringKind {
		return !utf8.ValidString(value.String())
	}
	if field.Message() == nil {
		return false
	}
	invalid := false
	value.Message().Range(func(inner protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		invalid = !inner.IsList() && hasInvalidText(inner, v)
		return !invalid
	})
	return invalid
}

// replaceInvalidText replaces what is not valid UTF-8 in strings outside of lists, and
// returns the number of those strings.
func replaceInvalidText(m protoreflect.Message) int {
	replaced := 0
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.IsList():
		case field.Message() != nil:
			replaced += replaceInvalidText(value.Message())
		case hasInvalidText(field, value):
			m.Set(field, protoreflect.ValueOfString(strings.ToValidUTF8(value.String(), string(utf8.RuneError))))
			replaced++
		}
		return true
	})
	return replaced
}
