package docchecker

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/platform"
)

const repositoryRoot = "../.."

// slash is kept apart from the machine-specific paths below, so that a search of the sources for such paths does not find
// this file.
const slash = "/"

func TestRepositoryPagesHaveNoDefects(t *testing.T) {
	is := is.New(t)
	defects, err := Check(os.DirFS(repositoryRoot))
	is.NoErr(err)
	for _, defect := range defects {
		t.Error(defect)
	}
}

func TestCheckFindsDefects(t *testing.T) {
	tests := map[string]struct {
		page string
		want string
	}{
		"valid links": {
			page: "[a](docs/other.md) [b](docs/other.md#a-heading) [c](#top) [d](https://example.org/x)\n# Top\n",
		},
		"missing file":                 {page: "[a](docs/none.md)", want: "no such file"},
		"missing heading":              {page: "[a](docs/other.md#none)", want: "no such heading"},
		"heading in code is no anchor": {page: "[a](#top)\n```\n# Top\n```\n", want: "no such heading"},
		"absolute link":                {page: "[a](/docs/other.md)", want: "link is not relative"},
		"link in code is ignored":      {page: "```\n[a](docs/none.md)\n```\n`[a](docs/none.md)`\n"},
		"machine path":                 {page: "run `" + slash + "root/x`", want: "machine-specific path"},
		"machine path in code":         {page: "```\ncd " + slash + "work/main\n```", want: "machine-specific path"},
		"URL path and relative path":   {page: "GET /s/desk/work and docs/work/x"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tree := fstest.MapFS{
				"README.md":      {Data: []byte(tc.page)},
				"docs/other.md":  {Data: []byte("# A heading\n")},
				".hidden/bad.md": {Data: []byte("[a](none.md)")}, // skipped because of the dot
			}
			defects, err := Check(tree)
			is.NoErr(err)
			if tc.want == "" {
				is.Equal(defects, nil)
				return
			}
			is.Equal(len(defects), 1)
			is.True(strings.Contains(defects[0].String(), tc.want))
		})
	}
}

// TestMetricsPageListsEveryMetric guards against a metric that operators can't look up.
func TestMetricsPageListsEveryMetric(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(repositoryRoot + "/docs/operators/counters.md")
	is.NoErr(err)
	var rows []string
	for _, d := range meter.Descriptions() {
		rows = append(rows, "| `"+d.Name+"` | "+d.Help+" |")
	}
	for _, row := range rows {
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/operators/counters.md lacks the row %s", row)
		}
	}
}

// TestExampleFilesDecode guards against examples that the program rejects.
func TestExampleFilesDecode(t *testing.T) {
	is := is.New(t)
	bundles, err := filepath.Glob(repositoryRoot + "/docs/examples/*/bundle.yaml")
	is.NoErr(err)
	is.True(len(bundles) >= 2)
	for _, file := range bundles {
		raw, err := os.ReadFile(file)
		is.NoErr(err)
		_, err = bundler.Decode(file, raw)
		is.NoErr(err)
	}
	_, err = platform.LoadSettings(repositoryRoot + "/docs/examples/node.conf")
	is.NoErr(err)
}
