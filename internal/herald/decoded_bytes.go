package herald

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	// requestBytes is the memory in bytes of a decoded request without its fields' contents.
	requestBytes = 512
	// messageBytes is the same for a message in a request, with the pointer to it in a growing slice.
	messageBytes = 256
	// textBytes is the same for a string or a bytes field.
	textBytes = 48
	// numberBytes is the same for a number in a growing slice, which takes at least one encoded byte.
	numberBytes = 16
)

// DecodedBytes returns an upper bound of the memory in bytes that the request of a method of Herald takes once it is decoded, which may be
// over a hundred times its encoded length. What can't be decoded takes no memory.
func DecodedBytes(method string, encoded []byte) int64 {
	m := File_internal_herald_herald_proto.Services().ByName("Herald").Methods().ByName(protoreflect.Name(method))
	if m == nil {
		return 0
	}
	return requestBytes + decodedFields(m.Input(), encoded)
}

// decodedFields returns the memory in bytes of the fields of an encoded message, up to the first one that is invalid.
func decodedFields(message protoreflect.MessageDescriptor, encoded []byte) int64 {
	var total int64
	for len(encoded) > 0 {
		number, wireType, n := protowire.ConsumeTag(encoded)
		if n < 0 {
			return total
		}
		valueLength := protowire.ConsumeFieldValue(number, wireType, encoded[n:])
		if valueLength < 0 {
			return total
		}
		value := encoded[n : n+valueLength]
		encoded = encoded[n+valueLength:]
		total += numberBytes + decodedValue(message.Fields().ByNumber(number), wireType, value)
	}
	return total
}

// decodedValue returns the memory in bytes of an encoded value beyond that of a number. field is nil if the message has no such field, whose
// encoded form is then kept.
func decodedValue(field protoreflect.FieldDescriptor, wireType protowire.Type, value []byte) int64 {
	if wireType != protowire.BytesType {
		return int64(len(value))
	}
	content, _ := protowire.ConsumeBytes(value) // the caller has checked it
	switch {
	case field == nil:
		return 2 * int64(len(value)) // what is kept grows by doubling
	case field.Message() != nil:
		return messageBytes + decodedFields(field.Message(), content)
	case field.IsList() && field.Kind() != protoreflect.StringKind && field.Kind() != protoreflect.BytesKind:
		return numberBytes * int64(len(content))
	}
	return textBytes + int64(len(content))
}
