package splitter

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestItems splits arrays, also those with values that encoding/json rejects.
func TestItems(t *testing.T) {
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for _, tt := range []struct {
		doc  string
		want []string
	}{
		{"null", nil},
		{" [ ] ", nil},
		{"[1]", []string{"1"}},
		{` [ {"a":[1,2]} , "x,]\"\\" ,null, 1e400 ] `, []string{`{"a":[1,2]}`, `"x,]\"\\"`, "null", "1e400"}},
		{"[" + deep + ",2]", []string{deep, "2"}},
		{"[\"\xff\x01\",nonsense text,{invalid},3]", []string{"\"\xff\x01\"", "nonsense text", "{invalid}", "3"}},
		{"[1,,2]", []string{"1", "", "2"}},
	} {
		items, err := Items([]byte(tt.doc))
		require.NoError(t, err, tt.doc[:min(len(tt.doc), 80)])
		require.Len(t, items, len(tt.want))
		for i, item := range items {
			require.Equal(t, tt.want[i], string(item))
		}
	}
	for _, doc := range []string{"", "1", "{}", "[", `["a]`, "[{]", "[}]", `["\"]`, "[1]]"} {
		_, err := Items([]byte(doc))
		require.Error(t, err, doc)
	}
}

// TestMembers splits objects; the last of several values with one key counts, and keys that
// can't be read are left out.
func TestMembers(t *testing.T) {
	mems, err := Members([]byte(` { "a" : 1 , "b":{"c":[",}"]} , "a":"2", "\q":3, "d":1e400, "":null }`))
	require.NoError(t, err)
	require.Equal(t, map[string]json.RawMessage{"a": []byte(`"2"`), "b": []byte(`{"c":[",}"]}`), "d": []byte("1e400"), "": []byte("null")}, mems)
	mems, err = Members([]byte("{}"))
	require.NoError(t, err)
	require.Empty(t, mems)
	for _, doc := range []string{"", "[]", "null", `{"a"}`, `{"a" 1}`, `{"a":1`, `{,}`, `{"a":[}`} {
		_, err := Members([]byte(doc))
		require.Error(t, err, doc)
	}
}

// FuzzSplit compares the values with those that encoding/json finds in valid documents.
func FuzzSplit(f *testing.F) {
	for _, doc := range []string{"[]", `[1,"a",{"b":[2]}]`, `{"a":1,"b":{"c":[]}}`, `{"a":"\"}"}`, "null", `["\ud800"]`} {
		f.Add([]byte(doc))
	}
	f.Fuzz(func(t *testing.T, doc []byte) {
		items, err := Items(doc)
		var wantItems []json.RawMessage
		if json.Unmarshal(doc, &wantItems) == nil {
			require.NoError(t, err)
			require.Len(t, items, len(wantItems))
			for i := range items {
				require.Equal(t, string(wantItems[i]), string(items[i]))
			}
		}
		mems, err := Members(doc)
		var wantMembers map[string]json.RawMessage
		if json.Unmarshal(doc, &wantMembers) == nil && wantMembers != nil {
			require.NoError(t, err)
			require.Len(t, mems, len(wantMembers))
			for key := range wantMembers {
				require.Equal(t, string(wantMembers[key]), string(mems[key]))
			}
		}
	})
}
