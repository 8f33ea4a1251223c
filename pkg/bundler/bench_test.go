package bundler

import "testing"

func BenchmarkLookups(b *testing.B) {
	bundle := openExample(b, "shashat")
	b.ReportAllocs()
	for b.Loop() {
		service, _ := bundle.GetServiceByName("render_desk")
		if _, ok := service.GetServerByName("render_07"); !ok {
			b.Fatal("no server")
		}
		if _, ok := service.ClassFor("POST", "/orders"); !ok {
			b.Fatal("no class")
		}
		_ = bundle.GetCallerLimitByName("dashboard")
	}
}

func BenchmarkDecode(b *testing.B) {
	raw := readExample(b, "shashat", "bundle.yaml")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode("bench", raw); err != nil {
			b.Fatal(err)
		}
	}
}
