package enginehttp

import "github.com/go-faster/jx"

// usageTokens returns usage.completion_tokens of a response that is not streamed;
// 0 if the engine does not report it.
func usageTokens(data []byte) int {
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
