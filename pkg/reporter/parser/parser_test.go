package parser

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

func TestParseRejectsUnreadableDocuments(t *testing.T) {
	tests := map[string]struct {
		raw  string
		want reporter.Code
	}{
		"empty":                    {raw: "", want: "empty_document"},
		"only a comment":           {raw: "# nothing\n", want: "empty_document"},
		"only null":                {raw: "~\n", want: "empty_document"},
		"only a marker":            {raw: "---\n", want: "empty_document"},
		"two documents":            {raw: "a: 1\n---\nb: 2\n", want: "several_documents"},
		"unclosed list":            {raw: "a: [1\nb: 2\n", want: "syntax"},
		"second is invalid":        {raw: "a: 1\n---\nb: [\n", want: "syntax"},
		"control bytes":            {raw: "a: \x00\x01", want: "syntax"},
		"not UTF-8":                {raw: "a: \xff\xfe\xfd", want: "syntax"},
		"50 MB":                    {raw: strings.Repeat("a", 50<<20), want: "too_large"},
		"too deep":                 {raw: strings.Repeat("[", 200) + strings.Repeat("]", 200), want: "too_deep"},
		"too deep for the decoder": {raw: strings.Repeat("[", 500_000), want: "syntax"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var findings reporter.Findings
			_, ok := Parse("f", []byte(tc.raw), &findings)
			is.True(!ok)
			is.Equal(findings.List()[0].Code(), tc.want)
		})
	}
}

func TestValuesReportCodeAndPlace(t *testing.T) {
	readAll := func(m Mapping) {
		m.Required("text").Text()
		m.Optional("bool").Bool()
		m.Optional("int").Int(1, 10)
		m.Optional("float").Float(0, 0.5)
		m.Optional("time").Duration(time.Millisecond, time.Second)
		m.Optional("size").Bytes(1, 1<<20)
		m.Optional("list").Items(1, 2)
		m.Optional("address").Address()
		m.Optional("listen").ListenAddress()
		m.Optional("choice").OneOf("left", "right")
	}
	tests := map[string]struct {
		raw  string
		want string
	}{
		"valid": {raw: "text: a\nbool: true\nint: 10\nfloat: 0.25\ntime: 800ms\nsize: 64KiB\nlist: [1]\n" +
			"address: 10.0.0.1:80\nlisten: 0.0.0.0:0\nchoice: left"},
		"missing key":              {raw: "bool: true", want: "f:1:1: missing_key"},
		"unknown key":              {raw: "text: a\ntexts: b", want: "f:2:1: unknown_key"},
		"duplicate key":            {raw: "text: a\ntext: a", want: "f:2:1: doubled_key"},
		"key is a list":            {raw: "text: a\n[1]: a", want: "f:2:1: unknown_key"},
		"merge key":                {raw: "text: a\n<<: {bool: true}", want: "f:2:1: unknown_key"},
		"text is null":             {raw: "text: null", want: "f:1:7: wrong_type"},
		"text is a number":         {raw: "text: 0123", want: "f:1:7: wrong_type"},
		"text is empty":            {raw: `text: ""`, want: "f:1:7: empty"},
		"text is tagged":           {raw: "text: !!str 5", want: "f:1:7: tag_refused"},
		"text is an alias":         {raw: "text: &a a\nchoice: *a", want: "f:1:7: anchor_refused"},
		"bool is yes":              {raw: "text: a\nbool: yes", want: "f:2:7: wrong_type"},
		"bool in upper case":       {raw: "text: a\nbool: TRUE", want: "f:2:7: wrong_form"},
		"int is octal":             {raw: "text: a\nint: 07", want: "f:2:6: wrong_form"},
		"int with underscores":     {raw: "text: a\nint: 1_0", want: "f:2:6: wrong_form"},
		"int too large":            {raw: "text: a\nint: 11", want: "f:2:6: out_of_range"},
		"int far too large":        {raw: "text: a\nint: 18446744073709551615", want: "f:2:6: out_of_range"},
		"float is not finite":      {raw: "text: a\nfloat: .inf", want: "f:2:8: wrong_form"},
		"float too large":          {raw: "text: a\nfloat: 0.51", want: "f:2:8: out_of_range"},
		"duration without unit":    {raw: "text: a\ntime: 5", want: "f:2:7: wrong_unit"},
		"duration too long":        {raw: "text: a\ntime: 2s", want: "f:2:7: out_of_range"},
		"size without unit":        {raw: "text: a\nsize: 5", want: "f:2:7: wrong_unit"},
		"size in KB":               {raw: "text: a\nsize: 5KB", want: "f:2:7: wrong_unit"},
		"size too large":           {raw: "text: a\nsize: 999999999999999GiB", want: "f:2:7: out_of_range"},
		"list too long":            {raw: "text: a\nlist: [1, 2, 3]", want: "f:2:7: too_many"},
		"list is a mapping":        {raw: "text: a\nlist: {}", want: "f:2:7: wrong_type"},
		"address with a host name": {raw: "text: a\naddress: host:80", want: "f:2:10: wrong_form"},
		"address with port 0":      {raw: "text: a\naddress: 10.0.0.1:0", want: "f:2:10: wrong_form"},
		"choice is not listed":     {raw: "text: a\nchoice: up", want: "f:2:9: wrong_form"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var findings reporter.Findings
			root, ok := Parse("f", []byte(tc.raw), &findings)
			is.True(ok)
			readAll(root.Mapping("text", "bool", "int", "float", "time", "size", "list", "address", "listen", "choice"))
			is.True(strings.HasPrefix(findings.String(), tc.want))
			is.Equal(findings.Len() > 0, tc.want != "")
		})
	}
}
