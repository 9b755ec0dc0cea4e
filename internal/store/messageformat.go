package store

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"mime"
	"mime/multipart"
	"net/http"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/dykewing/dykewing/api"
	"github.com/dykewing/dykewing/internal/logform"
	"github.com/dykewing/dykewing/internal/transport"
	"github.com/dykewing/dykewing/jobs"
	"github.com/dykewing/dykewing/replication"
)

// contentMultipart is the content type of a body of two parts: JSON, and the entries' raw
// data, which base64 in JSON would enlarge by a third.
const contentMultipart = "multipart/mixed"

// contentLegacyFrame is the content type that builds before logform.Multipart use: the
// length of the JSON as a uvarint, the JSON, and the entries' data. It is accepted but never
// sent. If it were refused, such a sender would downgrade the receiver to plain entries and
// could not replicate the packed entries in its log.
const contentLegacyFrame = "application/x-dykewing-log"

var errInvalidFrame = errors.New("invalid frame")

// frame is the JSON part of a framed body. Its messages omit the entries' data, and sender
// and receiver where they equal those of the body.
type frame struct {
	messageBatch
	To       replication.ReplicaID `json:"to"`
	Sizes    []int                 `json:"sizes,omitempty"` // bytes of each entry's data, in order
	Checksum uint32                `json:"sum"`             // CRC-32C of all data
}

// encodeBatch returns a multipart body, with the JSON and the data of all entries, and its
// content type.
func encodeBatch(to replication.ReplicaID, batch messageBatch) (contentType string, body []byte, err error) {
	framed := frame{messageBatch: batch, To: to}
	framed.Messages = make([]replication.WireMessage, len(batch.Messages))
	var data bytes.Buffer
	for i, message := range batch.Messages {
		if message.From == batch.From {
			message.From = ""
		}
		if message.To == to {
			message.To = ""
		}
		entries := make([]replication.Entry, len(message.Entries))
		for j, entry := range message.Entries {
			framed.Sizes = append(framed.Sizes, len(entry.Data))
			data.Write(entry.Data)
			framed.Checksum = crc32.Update(framed.Checksum, castagnoli, entry.Data)
			entry.Data = nil
			entries[j] = entry
		}
		message.Entries = entries
		framed.Messages[i] = message
	}
	head, err := json.Marshal(framed)
	if err != nil {
		return "", nil, err
	}
	var written bytes.Buffer
	parts := multipart.NewWriter(&written) // the random boundary can't occur in the data
	for _, part := range [][]byte{head, data.Bytes()} {
		if err := writePart(parts, part); err != nil {
			return "", nil, err
		}
	}
	if err := parts.Close(); err != nil {
		return "", nil, err
	}
	return mime.FormatMediaType(contentMultipart, map[string]string{"boundary": parts.Boundary()}), written.Bytes(), nil
}

func writePart(parts *multipart.Writer, data []byte) error {
	part, err := parts.CreatePart(nil)
	if err != nil {
		return err
	}
	_, err = part.Write(data)
	return err
}

// readParts returns the two parts of a multipart body, or an error if it is truncated.
func readParts(contentType string, body []byte) (head, data []byte, err error) {
	kind, parameters, err := mime.ParseMediaType(contentType)
	if err != nil || kind != contentMultipart {
		return nil, nil, fmt.Errorf("%w: content type %q", errInvalidFrame, contentType)
	}
	boundary := parameters["boundary"]
	if !bytes.HasSuffix(body, []byte("--"+boundary+"--\r\n")) {
		return nil, nil, fmt.Errorf("%w: closing boundary missing", errInvalidFrame)
	}
	parts := multipart.NewReader(bytes.NewReader(body), boundary)
	for _, into := range []*[]byte{&head, &data} {
		part, err := parts.NextRawPart()
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", errInvalidFrame, err)
		}
		if *into, err = io.ReadAll(part); err != nil {
			return nil, nil, fmt.Errorf("%w: %w", errInvalidFrame, err)
		}
	}
	if _, err := parts.NextRawPart(); err != io.EOF {
		return nil, nil, fmt.Errorf("%w: more than two parts", errInvalidFrame)
	}
	return head, data, nil
}

// readLegacyParts is readParts for contentLegacyFrame.
func readLegacyParts(_ string, body []byte) (head, data []byte, err error) {
	size, n := binary.Uvarint(body)
	if n <= 0 || size > uint64(len(body)-n) {
		return nil, nil, fmt.Errorf("%w: bad length prefix", errInvalidFrame)
	}
	return body[n : n+int(size)], body[n+int(size):], nil
}

// decodeBatch decodes a framed body, of this build or an earlier one. Missing or surplus
// bytes are an error, so that no entry is accepted in part.
func decodeBatch(contentType string, body []byte) (messageBatch, error) {
	read := readParts
	if contentType == contentLegacyFrame {
		read = readLegacyParts
	}
	head, rest, err := read(contentType, body)
	if err != nil {
		return messageBatch{}, err
	}
	var framed frame
	if err := json.Unmarshal(head, &framed); err != nil {
		return messageBatch{}, fmt.Errorf("%w: %w", errInvalidFrame, err)
	}
	sizes := framed.Sizes
	if crc32.Checksum(rest, castagnoli) != framed.Checksum {
		return messageBatch{}, errInvalidFrame
	}
	for i := range framed.Messages {
		message := &framed.Messages[i]
		if message.From == "" {
			message.From = framed.From
		}
		if message.To == "" {
			message.To = framed.To
		}
		for j := range message.Entries {
			if len(sizes) == 0 || sizes[0] < 0 || sizes[0] > len(rest) {
				return messageBatch{}, errInvalidFrame
			}
			if sizes[0] > 0 {
				// Cloned so that a retained entry doesn't keep the whole body in memory.
				message.Entries[j].Data = bytes.Clone(rest[:sizes[0]])
			}
			rest, sizes = rest[sizes[0]:], sizes[1:]
		}
	}
	if len(rest) > 0 || len(sizes) > 0 {
		return messageBatch{}, errInvalidFrame
	}
	return framed.messageBatch, nil
}

// readBatch reads a body in any format that the given level accepts.
func readBatch(w http.ResponseWriter, r *http.Request, reads logform.Level) (messageBatch, *api.Error) {
	const step = "receive log messages"
	var batch messageBatch
	contentType := r.Header.Get("Content-Type")
	framed := strings.HasPrefix(contentType, contentMultipart) || contentType == contentLegacyFrame
	if !framed || reads < logform.Packed {
		return batch, transport.ReadJSON(w, r, step, maxMessagesBytes, &batch)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessagesBytes))
	if err == nil {
		batch, err = decodeBatch(contentType, body)
	}
	if err != nil {
		return batch, transport.BodyError(step, err)
	}
	return batch, nil
}

// encodeCommand returns a command as an entry's data. A packed one may also refer to text
// kept earlier instead of repeating it, so packed requires that all members decode it.
func encodeCommand(command jobs.Command, packed bool) ([]byte, error) {
	if packed {
		command = command.Shortened()
	}
	data, err := json.Marshal(command)
	if err != nil || !packed {
		return data, err
	}
	return logform.Pack(data), nil
}

func decodeCommand(data []byte) (command jobs.Command, err error) {
	plain, err := logform.Unpack(data)
	if err != nil {
		return command, err
	}
	err = json.Unmarshal(plain, &command)
	return command, err
}

// packingAllowed reports whether the processes of all members decode packed entries, and
// logs when that changes.
func (g *group) packingAllowed() bool {
	members := g.members().Members
	unread := g.peers.belowLevel(g.database.identity, logform.Packed, slices.Concat(members.Voters, members.Learners))
	packs := len(unread) == 0 && g.database.hooks.level() >= logform.Packed
	if g.packing.Swap(packs) != packs {
		g.log.WithFields(logrus.Fields{"event": "entry_form", "packed": packs, "unread": unread}).
			Info("Packing of log entries changed; it requires that all members decode packed entries.")
	}
	return packs
}

// canDecode reports whether the message's receiver is known to decode its entries. A process
// that can't would apply a packed entry as a command without effect, and its state would
// diverge. Replication resends withheld messages.
func (g *group) canDecode(message replication.WireMessage) bool {
	for _, entry := range message.Entries {
		if entry.Kind == replication.EntryCommand && logform.IsPacked(entry.Data) {
			return g.peers.level(message.To) >= logform.Packed
		}
	}
	return true
}
