package enginehttp

import "github.com/go-faster/jx"

// wholeTokens reads usage.completion_tokens of an answer that is not
// streamed. It is 0 where the engine does not tell.
func wholeTokens(data []byte) int {
	tokens := 0
	d := jx.DecodeBytes(data)
	err := d.Obj(func(d *jx.Decoder, key string) error {
		if key != "usage" {
			return d.Skip()
		}
		return d.Obj(func(d *jx.Decoder, key string) error {
			if key != "completion_tokens" {
				return d.Skip()
			}
			n, err := d.Int()
			tokens = n
			return err
		})
	})
	if err != nil {
		return 0
	}
	return tokens
}
