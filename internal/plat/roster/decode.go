package roster

import (
	"net/netip"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-json"
)

// decodeList decodes the platform's answer. Entries that name no usable instance or server are left out: other programs may write
// to the list, and one odd entry must not hide the others.
func decodeList(doc []byte) (l List, err error) {
	var raw struct {
		Instances []json.RawMessage `json:"instances"`
		Servers   []json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(pruneNesting(doc), &raw); err != nil {
		return l, err
	}
	for _, r := range raw.Instances {
		var i Instance
		if json.Unmarshal(r, &i) == nil && isName(i.Name) && isName(i.DC) && utf8.ValidString(i.Region) && isUsable(i.Peer) {
			i.Leaving = i.State == stateLeaving
			l.Instances = append(l.Instances, i)
		}
	}
	for _, r := range raw.Servers {
		var s Server
		if json.Unmarshal(r, &s) == nil && isName(s.Name) && isName(s.Pool) && isUsable(s.Address) {
			s.Leaving = s.State == stateLeaving
			l.Servers = append(l.Servers, s)
		}
	}
	return l, nil
}

// isName reports whether s can be sent to other instances, whose messages hold UTF-8. The JSON library replaces other bytes.
func isName(s string) bool {
	return s != "" && utf8.ValidString(s) && !strings.ContainsRune(s, utf8.RuneError)
}

func isUsable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// maxDepth is above the depth of any entry. The JSON library refuses a whole document that is nested too deeply anywhere.
const maxDepth = 8

// pruneNesting returns doc with null in place of what is nested more deeply than maxDepth.
func pruneNesting(doc []byte) []byte {
	out := make([]byte, 0, len(doc))
	depth, inString, escaped := 0, false, false
	for _, b := range doc {
		keep := depth <= maxDepth
		switch {
		case inString:
			inString, escaped = b != '"' || escaped, b == '\\' && !escaped
		case b == '"':
			inString = true
		case b == '[' || b == '{':
			if depth++; depth == maxDepth+1 {
				out = append(out, "null"...)
			}
			keep = depth <= maxDepth
		case b == ']' || b == '}':
			depth--
		}
		if keep {
			out = append(out, b)
		}
	}
	return out
}
