package herald

import (
	"bytes"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// TestDecodedBytesBoundsMemory guards against messages that take more memory than is held for them: a small encoded message can have
// very many elements.
func TestDecodedBytesBoundsMemory(t *testing.T) {
	const count = 200_000
	tests := map[string]struct {
		method  string
		element proto.Message // is repeated count times
		decoded proto.Message
	}{
		"empty loads of keys":     {"Report", &ReportRequest{Keys: []*KeyLoad{{}}}, &ReportRequest{}},
		"numbers":                 {"Report", &ReportRequest{Keys: []*KeyLoad{{Keys: []uint32{1, 2, 3, 1 << 30}, Requests: []uint32{0, 7}}}}, &ReportRequest{}},
		"empty loads of servers":  {"Report", &ReportRequest{Servers: []*ServerLoad{{}}}, &ReportRequest{}},
		"limits":                  {"Report", &ReportRequest{Limits: []*ServerLimit{{Server: "s", Rate: 1}}}, &ReportRequest{}},
		"crash records":           {"Report", &ReportRequest{CrashRecords: []*CrashRecord{{Name: "n", Crashes: []*Crash{{}, {}}}}}, &ReportRequest{}},
		"members":                 {"Publish", &PublishRequest{Members: &Members{Members: []*Member{{LostServices: []*LostService{{}}}}}}, &PublishRequest{}},
		"segments":                {"Publish", &PublishRequest{Owners: &Owners{Segments: []*Segment{{Service: 1}}, Services: []string{"a", ""}}}, &PublishRequest{}},
		"fields that are unknown": {"Fetch", &ReportRequest{Servers: []*ServerLoad{{Server: "server", WorkMs: 3}}}, &FetchRequest{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			one, err := proto.Marshal(test.element)
			is.NoErr(err)
			encoded := bytes.Repeat(one, count)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			if err := proto.Unmarshal(encoded, test.decoded); err != nil && test.method != "Fetch" {
				t.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			taken := int64(after.HeapAlloc) - int64(before.HeapAlloc)
			t.Logf("%d bytes take %d, held %d", len(encoded), taken, DecodedBytes(test.method, encoded))
			is.True(taken <= DecodedBytes(test.method, encoded))
			runtime.KeepAlive(test.decoded)
		})
	}
}

// TestDecodedBytesOfInvalidMessages guards against a panic over what is no message, and against an unknown method that is not expected.
func TestDecodedBytesOfInvalidMessages(t *testing.T) {
	is := is.New(t)
	is.Equal(DecodedBytes("None", []byte{0}), int64(0))
	random := rand.New(rand.NewPCG(1, 1))
	valid, err := proto.Marshal(&ReportRequest{Keys: []*KeyLoad{{Keys: []uint32{1}}}, Member: &Member{Instance: "a"}})
	is.NoErr(err)
	for range 10_000 {
		damaged := bytes.Clone(valid)
		damaged[random.IntN(len(damaged))] = byte(random.Uint32())
		is.True(DecodedBytes("Report", damaged[:random.IntN(len(damaged)+1)]) >= requestBytes)
	}
}
